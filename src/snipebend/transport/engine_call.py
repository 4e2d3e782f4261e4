"""Calls the upstream for one attempt; yields the response as frames."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, suppress
from typing import TYPE_CHECKING, NamedTuple

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ConnectionTimeoutError,
    ServerTimeoutError,
)

from snipebend.transport.completion_body import COMPLETION_PATHS
from snipebend.transport.events import (
    MEDIA_EVENTS,
    EventBuffer,
    is_comment,
    is_done,
    is_error,
)
from snipebend.transport.forward import HttpClient, end_to_end, read_chunk
from snipebend.transport.frames import Beat, Broken, Chunk, End, Frame, Head

if TYPE_CHECKING:
    from aiohttp import ClientResponse

    from snipebend.delivery.messages import AttemptTicket
    from snipebend.transport.asgi import Connection
    from snipebend.transport.forward import OutgoingRequest

#: Errors raised when no connection was established: nothing was sent.
CONNECT_ERRORS = (ClientConnectorError, ConnectionTimeoutError)

#: Errors raised when a peer aborts or violates the protocol.
TRANSFER_ERRORS = (ClientError, OSError, ValueError)

#: Seconds for which an upstream is checked for death after it aborted.
DEATH_CHECK_S = 0.2

#: Seconds between two of these checks.
DEATH_CHECK_INTERVAL_S = 0.02


class EngineCall(NamedTuple):
    """An admitted attempt; sends a heartbeat every ``heartbeat_s``.

    The call is aborted when ``requester`` disconnects, which cancels the work
    of the upstream. The attempt fails if the upstream sends nothing and
    ``is_down()`` reports that it is unresponsive.
    """

    client: HttpClient
    outgoing: OutgoingRequest
    ticket: AttemptTicket
    heartbeat_s: float
    requester: Connection
    is_down: Callable[[], bool]

    async def frames(self) -> AsyncIterator[list[Frame]]:
        """Yield the response as lists of frames; the last is End or Broken."""
        attempt = self.ticket.attempt
        try:
            async with AsyncExitStack() as stack:
                async for frames in self._exchange(stack):
                    yield frames
        except CONNECT_ERRORS as exc:
            yield [Broken(attempt, repr(exc), ran=False)]
        except TRANSFER_ERRORS as exc:
            died = (
                not self.requester.disconnected and await self._upstream_died()
            )
            yield [Broken(attempt, repr(exc), died=died)]

    async def _upstream_died(self) -> bool:
        """Return whether the upstream's address refuses connections.

        A process that is just exiting can still accept, so the check repeats.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(DEATH_CHECK_S):
                while not await self._is_refused():
                    await asyncio.sleep(DEATH_CHECK_INTERVAL_S)
                return True
        return False

    async def _is_refused(self) -> bool:
        host, _, port = self.outgoing.peer.rpartition(':')
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        writer.close()
        return False

    async def _exchange(
        self,
        stack: AsyncExitStack,
    ) -> AsyncIterator[list[Frame]]:
        sending = asyncio.ensure_future(
            stack.enter_async_context(self.client.send(self.outgoing)),
        )
        stack.push_async_callback(_cancel_request, sending)
        self.requester.on_disconnect(sending.cancel)
        while not sending.done():
            await asyncio.wait((sending,), timeout=self.heartbeat_s)
            if not sending.done():
                self._check_upstream()
                yield [Beat()]
        if sending.cancelled():
            yield [
                Broken(
                    self.ticket.attempt,
                    'the asker is gone',
                )
            ]
            return
        response = sending.result()
        self.requester.on_disconnect(response.close)
        yield [self._head(response)]
        async for frames in self._body(response):
            yield frames

    def _check_upstream(self) -> None:
        """Abort the call if the upstream sends nothing because it is down."""
        if self.is_down():
            raise ServerTimeoutError(f'{self.outgoing.peer} is silent')

    def _head(self, response: ClientResponse) -> Head:
        kept = end_to_end(response.headers)
        headers = tuple((str(name), text) for name, text in kept.items())
        return Head(self.ticket.attempt, response.status, headers)

    async def _body(
        self,
        response: ClientResponse,
    ) -> AsyncIterator[list[Frame]]:
        framer = _BodyFramer(self.ticket, _is_stream(response))
        while True:
            try:
                received = await read_chunk(response, self.heartbeat_s)
            except TimeoutError:
                self._check_upstream()
                yield [Beat()]
                continue
            if not received:
                break
            frames = framer.feed(received)
            if frames:
                yield frames
            if framer.failed:
                return
        path = self.outgoing.uri.partition('?')[0]
        needs_done = response.ok and path in COMPLETION_PATHS
        yield [framer.finish(needs_done=needs_done)]


class _BodyFramer:
    """Splits a body into numbered chunks: events of a stream, or bytes."""

    def __init__(self, ticket: AttemptTicket, streams: bool) -> None:
        self.failed = False
        self._attempt = ticket.attempt
        self._seq = ticket.resume_from
        self._events = EventBuffer() if streams else None
        self._done = False

    def feed(self, received: bytes) -> list[Frame]:
        if self._events is None:
            return [self._next_chunk(received)]
        frames: list[Frame] = []
        for event in self._events.feed(received):
            if is_comment(event):
                continue
            if is_error(event):
                self.failed = True
                frames.append(Broken(self._attempt, 'error event'))
                break
            self._done = is_done(event)
            frames.append(self._next_chunk(event))
        return frames

    def finish(self, *, needs_done: bool) -> Frame:
        """Return the last frame of a body that HTTP delivered completely."""
        events = self._events
        incomplete = events is not None and (
            events.partial or (needs_done and not self._done)
        )
        if incomplete:
            return Broken(self._attempt, 'stream without its end')
        return End(self._attempt, self._seq)

    def _next_chunk(self, payload: bytes) -> Chunk:
        chunk = Chunk(self._attempt, self._seq, payload)
        self._seq += 1
        return chunk


def _is_stream(response: ClientResponse) -> bool:
    return response.ok and response.content_type == MEDIA_EVENTS


async def _cancel_request(sending: asyncio.Future[ClientResponse]) -> None:
    sending.cancel()
    with suppress(asyncio.CancelledError, *TRANSFER_ERRORS):
        await sending
