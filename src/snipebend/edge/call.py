"""One call of an upstream on a pooled connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from loguru import logger

from snipebend.edge.http_headers import encode_head, end_to_end
from snipebend.edge.response_buffer import PartialResponse
from snipebend.edge.response_channel import (
    BodyChunk,
    ResponseAborted,
    ResponseCompleted,
    ResponseStarted,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from snipebend.edge.caller_parser import CompleteRequest
    from snipebend.edge.response_buffer import ResponseBuffer
    from snipebend.edge.response_channel import ResponseChannel, ResponseEvent
    from snipebend.edge.upstream_connection import UpstreamConnection
    from snipebend.edge.upstream_pool import UpstreamPool
    from snipebend.relay.facts import CallContext, Dialect, ResponseFacts
    from snipebend.relay.upstreams import Upstream

#: Largest response that is buffered completely before it is forwarded.
MAX_BUFFERED_BYTES = 16_777_216


class CompleteResponse(NamedTuple):
    """A response that was read to its end."""

    started: ResponseStarted
    body: bytes


class Call:
    """One request to one upstream."""

    def __init__(
        self,
        pool: UpstreamPool,
        upstream: Upstream,
        conn: UpstreamConnection,
        call_started_at: float,
        on_facts: Callable[[Upstream, ResponseFacts, float], None],
    ) -> None:
        """Keep a connection; ``call_started_at`` is in monotonic seconds.

        ``on_facts`` receives the facts in the head of the response, even if the
        caller has disconnected.
        """
        self.upstream = upstream
        self.started_at = call_started_at
        self._on_facts = on_facts
        self._pool = pool
        self._conn = conn
        self._channel: ResponseChannel | None = None
        self.finished = False

    def send(
        self,
        req: CompleteRequest,
        request_id: str,
        context: CallContext,
        dialect: Dialect,
    ) -> None:
        """Write the request with its complete body."""
        head = req.head
        headers = dialect.upstream_headers(end_to_end(head.headers), context)
        if req.body or head.method not in {b'GET', b'HEAD', b'DELETE'}:
            headers.append((b'Content-Length', b'%d' % len(req.body)))
        line = b'%b %b HTTP/1.1' % (head.method, head.target)
        data = encode_head(line, headers) + req.body
        self._channel = self._conn.send(data, request_id)

    @property
    def has_pending_events(self) -> bool:
        """Return whether more of the response has arrived, such as its end."""
        return self._channel is not None and self._channel.pending > 0

    def release(self) -> None:
        """Return the connection to the pool; nothing was sent on it."""
        self.finished = True
        self._pool.release(self.upstream.record.identity, self._conn)

    async def receive(self) -> ResponseEvent:
        """Wait for the next event of the response."""
        assert self._channel is not None, 'send() must be called first'
        event = await self._channel.receive()
        self._conn.resume()
        match event:
            case ResponseStarted(facts=facts):
                self._on_facts(self.upstream, facts, self.started_at)
            case ResponseCompleted():
                self.finished = True
                self._pool.release(self.upstream.record.identity, self._conn)
            case ResponseAborted():
                self.finished = True
            case _:
                pass
        return event

    async def receive_complete(
        self, started: ResponseStarted, buffer: ResponseBuffer
    ) -> CompleteResponse | PartialResponse | ResponseAborted:
        """Read the response to its end, or as far as there is memory."""
        event = await self.receive()
        while isinstance(event, BodyChunk):
            if not buffer.add(event.data):
                return PartialResponse(started, bytes(buffer.body))
            if len(buffer.body) > MAX_BUFFERED_BYTES:
                return ResponseAborted('the answer is too large')
            event = await self.receive()
        match event:
            case ResponseCompleted():
                return CompleteResponse(started, bytes(buffer.body))
            case ResponseAborted():
                return event
            case ResponseStarted():
                return ResponseAborted('a second head')

    async def drain(self, timeout_s: float) -> None:
        """Read and discard the response, for at most the given time."""
        try:
            async with asyncio.timeout(timeout_s):
                while not self.finished:
                    await self.receive()
        except TimeoutError:
            logger.info(
                'event=call_abandoned upstream={}',
                self.upstream.record.identity,
            )
        finally:
            self.abort()

    def abort(self) -> None:
        """Close the connection unless the response has ended."""
        if not self.finished:
            self.finished = True
            self._conn.abandon()
