"""One attempt as an entry sees it: sent once, its frames read as events."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack, suppress
from typing import TYPE_CHECKING, NamedTuple

from aiohttp import ClientError
from loguru import logger
from msgspec import json
from multidict import CIMultiDict

from snipebend.delivery.attempt_events import (
    AttemptBroken,
    AttemptFinished,
    AttemptRefused,
    AttemptStarted,
    ChunkArrived,
)
from snipebend.delivery.events import Event
from snipebend.transport.engine_call import BROKEN_OFF, UNSENT
from snipebend.transport.forward import (
    CONNECT_TIMEOUT_S,
    HttpClient,
    Outgoing,
    read_some,
)
from snipebend.transport.frames import (
    MEDIA_FRAMES,
    Accepted,
    Broken,
    Chunk,
    Declined,
    End,
    Frame,
    FrameBuffer,
    FrameError,
    Head,
)
from snipebend.transport.problems import ATTEMPT_HEADER, TICKET_HEADER

if TYPE_CHECKING:
    from aiohttp import ClientResponse

    from snipebend.delivery.actions import SendAttempt

Post = Callable[[list[Event]], Awaitable[None]]


class AttemptStream(NamedTuple):
    """Sends one attempt and posts what becomes of it.

    ``outgoing`` is the caller's request without the ticket. The agent beats
    while its upstream is quiet: a connection that says nothing for
    ``silent_after_s`` is given up, and its peer's others with it.
    """

    client: HttpClient
    outgoing: Outgoing
    attempt: SendAttempt
    silent_after_s: float
    post: Post
    note_death: Callable[[int, bool], None]

    async def run(self) -> None:
        """Post events up to the end of the attempt, which comes last."""
        try:
            async with AsyncExitStack() as stack:
                await self._read(await self._send(stack))
        except UNSENT as exc:
            await self._broke(exc, sent=False)
        except TimeoutError as exc:
            await self.client.retire(self.outgoing.peer)
            await self._broke(exc, sent=True)
        except BROKEN_OFF as exc:
            await self._broke(exc, sent=True)

    async def _send(self, stack: AsyncExitStack) -> ClientResponse:
        """Send the attempt; the agent answers before its upstream does."""
        async with asyncio.timeout(CONNECT_TIMEOUT_S + self.silent_after_s):
            return await stack.enter_async_context(
                self.client.send(self._with_ticket()),
            )

    def _with_ticket(self) -> Outgoing:
        ticket = self.attempt.ticket
        headers = CIMultiDict(self.outgoing.headers)
        headers[ATTEMPT_HEADER] = str(ticket.attempt)
        headers[TICKET_HEADER] = json.encode(ticket).decode()
        return self.outgoing._replace(headers=headers)

    async def _read(self, response: ClientResponse) -> None:
        if response.content_type != MEDIA_FRAMES:
            raise FrameError(f'status {response.status} without frames')
        buffer = FrameBuffer()
        closed = False
        while not closed:
            received = await read_some(response, self.silent_after_s)
            if not received:
                raise ClientError('frames without their end')
            frames = buffer.feed(received)
            closed = any(map(_is_last, frames))
            events = self._translate(frames)
            if events:
                await self.post(events)
        await self._release(response)

    async def _release(self, response: ClientResponse) -> None:
        """Read the end of the body, so that the connection is used again."""
        try:
            with suppress(*BROKEN_OFF):
                await read_some(response, self.silent_after_s)
        except TimeoutError:
            await self.client.retire(self.outgoing.peer)

    def _translate(self, frames: list[Frame]) -> list[Event]:
        events: list[Event] = []
        for frame in frames:
            event = self._translate_one(frame)
            if event is not None:
                events.append(event)
        return events

    def _translate_one(self, frame: Frame) -> Event | None:
        match frame:
            case Chunk(attempt=attempt, seq=seq, payload=payload):
                return ChunkArrived(attempt, seq, payload)
            case Head(attempt=attempt, status=status, headers=headers):
                return AttemptStarted(attempt, status, dict(headers))
            case End(attempt=attempt, next_seq=next_seq):
                return AttemptFinished(attempt, next_seq)
            case Broken(attempt=attempt, ran=ran):
                if frame.died:
                    self.note_death(attempt, frame.alone)
                return AttemptBroken(attempt, sent=ran)
            case Declined(attempt=attempt, reason=reason):
                return AttemptRefused(attempt, reason)
            case Accepted(request_id=request_id):
                self._check_own(request_id)
        return None

    def _check_own(self, request_id: str) -> None:
        if request_id != self.attempt.ticket.request_id:
            raise FrameError('the answer to another request')

    async def _broke(self, exc: Exception, *, sent: bool) -> None:
        ticket = self.attempt.ticket
        logger.warning(
            'event=attempt_failed id={} attempt={} peer={} sent={} reason={!r}',
            ticket.request_id,
            ticket.attempt,
            self.attempt.target.upstream,
            sent,
            exc,
        )
        await self.post([AttemptBroken(ticket.attempt, sent)])


def _is_last(frame: Frame) -> bool:
    return isinstance(frame, (End, Broken, Declined))
