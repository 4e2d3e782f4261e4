"""One attempt at the upstream, as the frames of its answer."""

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
from snipebend.transport.forward import HttpClient, end_to_end, read_some
from snipebend.transport.frames import Beat, Broken, Chunk, End, Frame, Head

if TYPE_CHECKING:
    from aiohttp import ClientResponse

    from snipebend.delivery.messages import AttemptTicket
    from snipebend.transport.asgi import Connection
    from snipebend.transport.forward import Outgoing

#: What a connection that never came about raises: nothing was sent.
UNSENT = (ClientConnectorError, ConnectionTimeoutError)

#: What a peer that breaks off raises.
BROKEN_OFF = (ClientError, OSError, ValueError)

#: Seconds for which an upstream that broke off is watched for its end.
DEATH_LOOK_S = 0.2

#: Seconds between two looks.
LOOK_AGAIN_S = 0.02


class EngineCall(NamedTuple):
    """An admitted attempt; a sign of life goes out every ``beat_s``.

    The upstream is cut off once ``asker`` is gone, which cancels its work. The
    attempt breaks while ``is_down()`` tells that the upstream is silent.
    """

    client: HttpClient
    outgoing: Outgoing
    ticket: AttemptTicket
    beat_s: float
    asker: Connection
    is_down: Callable[[], bool]

    async def frames(self) -> AsyncIterator[list[Frame]]:
        """Yield the answer as lists of frames; the last is End or Broken."""
        attempt = self.ticket.attempt
        try:
            async with AsyncExitStack() as stack:
                async for frames in self._exchange(stack):
                    yield frames
        except UNSENT as exc:
            yield [Broken(attempt, repr(exc), ran=False)]
        except BROKEN_OFF as exc:
            died = not self.asker.gone and await self._upstream_died()
            yield [Broken(attempt, repr(exc), died=died)]

    async def _upstream_died(self) -> bool:
        """Tell whether nothing listens at the upstream's address any more.

        One that is just ending may still accept, so it is looked at again.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(DEATH_LOOK_S):
                while not await self._is_refused():
                    await asyncio.sleep(LOOK_AGAIN_S)
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
        stack.push_async_callback(_abandon, sending)
        self.asker.when_gone(sending.cancel)
        while not sending.done():
            await asyncio.wait((sending,), timeout=self.beat_s)
            if not sending.done():
                self._check_upstream()
                yield [Beat()]
        if sending.cancelled():
            yield [Broken(self.ticket.attempt, 'the asker is gone')]
            return
        response = sending.result()
        self.asker.when_gone(response.close)
        yield [self._head(response)]
        async for frames in self._body(response):
            yield frames

    def _check_upstream(self) -> None:
        """Give up on an upstream that is quiet because it is frozen."""
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
        cutter = _Cutter(self.ticket, _is_stream(response))
        while True:
            try:
                received = await read_some(response, self.beat_s)
            except TimeoutError:
                self._check_upstream()
                yield [Beat()]
                continue
            if not received:
                break
            frames = cutter.feed(received)
            if frames:
                yield frames
            if cutter.failed:
                return
        path = self.outgoing.uri.partition('?')[0]
        needs_done = response.ok and path in COMPLETION_PATHS
        yield [cutter.finish(needs_done=needs_done)]


class _Cutter:
    """Numbers the pieces of a body: events of a stream, or any bytes."""

    def __init__(self, ticket: AttemptTicket, streams: bool) -> None:
        self.failed = False
        self._attempt = ticket.attempt
        self._seq = ticket.resume_from
        self._events = EventBuffer() if streams else None
        self._done = False

    def feed(self, received: bytes) -> list[Frame]:
        if self._events is None:
            return [self._number(received)]
        frames: list[Frame] = []
        for event in self._events.feed(received):
            if is_comment(event):
                continue
            if is_error(event):
                self.failed = True
                frames.append(Broken(self._attempt, 'error event'))
                break
            self._done = is_done(event)
            frames.append(self._number(event))
        return frames

    def finish(self, *, needs_done: bool) -> Frame:
        """Judge the end of the body, which came cleanly by HTTP."""
        events = self._events
        cut = events is not None and (
            events.partial or (needs_done and not self._done)
        )
        if cut:
            return Broken(self._attempt, 'stream without its end')
        return End(self._attempt, self._seq)

    def _number(self, payload: bytes) -> Chunk:
        chunk = Chunk(self._attempt, self._seq, payload)
        self._seq += 1
        return chunk


def _is_stream(response: ClientResponse) -> bool:
    return response.ok and response.content_type == MEDIA_EVENTS


async def _abandon(sending: asyncio.Future[ClientResponse]) -> None:
    sending.cancel()
    with suppress(asyncio.CancelledError, *BROKEN_OFF):
        await sending
