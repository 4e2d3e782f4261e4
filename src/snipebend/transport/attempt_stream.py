"""Sends one attempt from an entry to an agent and reads its frames."""

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
from snipebend.transport.engine_call import CONNECT_ERRORS, TRANSFER_ERRORS
from snipebend.transport.forward import (
    CONNECT_TIMEOUT_S,
    HttpClient,
    OutgoingRequest,
    read_chunk,
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
    """Sends one attempt and posts its events.

    ``outgoing`` is the caller's request without the ticket. The agent sends
    heartbeats while its upstream sends nothing: a connection that delivers no
    data for ``silent_after_s`` is closed, and no other connection to that peer
    is reused.
    """

    client: HttpClient
    outgoing: OutgoingRequest
    attempt: SendAttempt
    silent_after_s: float
    post: Post
    on_upstream_death: Callable[[int, bool], None]

    async def run(self) -> None:
        """Post the events of the attempt; the last one ends it."""
        try:
            async with AsyncExitStack() as stack:
                await self._read(await self._send(stack))
        except CONNECT_ERRORS as exc:
            await self._report_failure(exc, sent=False)
        except TimeoutError as exc:
            await self.client.retire(self.outgoing.peer)
            await self._report_failure(exc, sent=True)
        except TRANSFER_ERRORS as exc:
            await self._report_failure(exc, sent=True)

    async def _send(self, stack: AsyncExitStack) -> ClientResponse:
        """Send the attempt; the agent responds before its upstream does."""
        async with asyncio.timeout(CONNECT_TIMEOUT_S + self.silent_after_s):
            return await stack.enter_async_context(
                self.client.send(self._with_ticket()),
            )

    def _with_ticket(self) -> OutgoingRequest:
        ticket = self.attempt.ticket
        headers = CIMultiDict(self.outgoing.headers)
        headers[ATTEMPT_HEADER] = str(ticket.attempt)
        headers[TICKET_HEADER] = json.encode(ticket).decode()
        return self.outgoing._replace(headers=headers)

    async def _read(self, response: ClientResponse) -> None:
        if response.content_type != MEDIA_FRAMES:
            raise FrameError(
                f'status {response.status}: response body is not {MEDIA_FRAMES}'
            )
        buffer = FrameBuffer()
        closed = False
        while not closed:
            received = await read_chunk(response, self.silent_after_s)
            if not received:
                raise ClientError('response ended before the last frame')
            frames = buffer.feed(received)
            closed = any(map(_is_last, frames))
            events = self._translate(frames)
            if events:
                await self.post(events)
        await self._release(response)

    async def _release(self, response: ClientResponse) -> None:
        """Read to the end of the body so that the connection can be reused."""
        try:
            with suppress(*TRANSFER_ERRORS):
                await read_chunk(response, self.silent_after_s)
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
                    self.on_upstream_death(attempt, frame.alone)
                return AttemptBroken(attempt, sent=ran)
            case Declined(attempt=attempt, reason=reason):
                return AttemptRefused(attempt, reason)
            case Accepted(request_id=request_id):
                self._check_request_id(request_id)
        return None

    def _check_request_id(self, request_id: str) -> None:
        if request_id != self.attempt.ticket.request_id:
            raise FrameError(f'response belongs to request {request_id}')

    async def _report_failure(self, exc: Exception, *, sent: bool) -> None:
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
