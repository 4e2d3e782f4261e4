"""One call of an upstream: opened, sent, and given back or broken off."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from loguru import logger

from snipebend.edge.exchange import Begun, Broken, Piece, Whole
from snipebend.edge.http_headers import encode_head, end_to_end

if TYPE_CHECKING:
    from collections.abc import Callable

    from snipebend.edge.caller_parser import WholeRequest
    from snipebend.edge.exchange import Exchange, Message
    from snipebend.edge.upstream_connection import UpstreamConnection
    from snipebend.edge.upstream_pool import UpstreamPool
    from snipebend.relay.facts import Dialect, ResponseFacts, UpstreamCall
    from snipebend.relay.upstreams import Upstream

#: Bytes of an answer that is kept whole before it is passed on.
MAX_KEPT_BYTES = 16_777_216


class WholeAnswer(NamedTuple):
    """An answer read to its end."""

    begun: Begun
    body: bytes


class Call:
    """A request at one upstream."""

    def __init__(
        self,
        pool: UpstreamPool,
        upstream: Upstream,
        conn: UpstreamConnection,
        call_started_at: float,
        hear: Callable[[Upstream, ResponseFacts, float], None],
    ) -> None:
        """Keep an acquired connection; ``begun_at`` in monotonic seconds.

        ``hear`` takes over what the answer says of the upstream, also where
        the caller has left.
        """
        self.upstream = upstream
        self.started_at = call_started_at
        self._hear = hear
        self._pool = pool
        self._conn = conn
        self._exchange: Exchange | None = None
        self.over = False

    def send(
        self,
        req: WholeRequest,
        request_id: str,
        facts: UpstreamCall,
        dialect: Dialect,
    ) -> None:
        """Write the request with its whole body."""
        head = req.head
        headers = dialect.upstream_headers(end_to_end(head.headers), facts)
        if req.body or head.method not in {b'GET', b'HEAD', b'DELETE'}:
            headers.append((b'Content-Length', b'%d' % len(req.body)))
        line = b'%b %b HTTP/1.1' % (head.method, head.target)
        data = encode_head(line, headers) + req.body
        self._exchange = self._conn.send(data, request_id)

    def give_back(self) -> None:
        """Keep the connection for another call; nothing was sent on it."""
        self.over = True
        self._pool.release(self.upstream.record.identity, self._conn)

    async def receive(self) -> Message:
        """Wait for the next message about the answer."""
        assert self._exchange is not None, 'send() comes first'
        message = await self._exchange.receive()
        self._conn.resume()
        match message:
            case Begun(facts=facts):
                self._hear(self.upstream, facts, self.started_at)
            case Whole():
                self.over = True
                self._pool.release(self.upstream.record.identity, self._conn)
            case Broken():
                self.over = True
            case _:
                pass
        return message

    async def receive_whole(self, begun: Begun) -> WholeAnswer | Broken:
        """Read the answer to its end."""
        body = bytearray()
        while True:
            message = await self.receive()
            match message:
                case Piece(data):
                    body += data
                case Whole():
                    return WholeAnswer(begun, bytes(body))
                case Broken():
                    return message
                case Begun():
                    return Broken('a second head')
            if len(body) > MAX_KEPT_BYTES:
                return Broken('the answer is too large')

    async def read_out(self, span_s: float) -> None:
        """Read an answer that nobody waits for, for so many seconds."""
        try:
            async with asyncio.timeout(span_s):
                while not self.over:
                    await self.receive()
        except TimeoutError:
            logger.info(
                'event=call_abandoned upstream={}',
                self.upstream.record.identity,
            )
        finally:
            self.break_off()

    def break_off(self) -> None:
        """Close the connection unless the answer has ended."""
        if not self.over:
            self.over = True
            self._conn.abandon()
