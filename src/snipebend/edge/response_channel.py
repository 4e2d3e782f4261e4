"""Events of one upstream response, from its connection to its reader."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from snipebend.relay.facts import ResponseFacts, ResponseHead
from snipebend.transport.body_framing import BodyFraming


class ResponseStarted(NamedTuple):
    """The head of the response, raw and parsed."""

    head: ResponseHead
    facts: ResponseFacts
    framing: BodyFraming


class BodyChunk(NamedTuple):
    """Bytes of the body, in order."""

    data: bytes


class ResponseCompleted(NamedTuple):
    """The response is complete."""


class ResponseAborted(NamedTuple):
    """The response ends here and is incomplete."""

    reason: str


ResponseEvent = (
    ResponseStarted | BodyChunk | ResponseCompleted | ResponseAborted
)


class ResponseChannel:
    """The events of one response, in order."""

    def __init__(self, request_id: str) -> None:
        """Create an empty channel; ``request_id`` names the request."""
        self.request_id = request_id
        self._messages: asyncio.Queue[ResponseEvent] = asyncio.Queue()
        #: Bytes of the body that have not been read.
        self.pending_bytes = 0

    @property
    def pending(self) -> int:
        """Return how many events have not been read."""
        return self._messages.qsize()

    def send(self, message: ResponseEvent) -> None:
        """Append an event."""
        if isinstance(message, BodyChunk):
            self.pending_bytes += len(message.data)
        self._messages.put_nowait(message)

    async def receive(self) -> ResponseEvent:
        """Wait for the next event."""
        message = await self._messages.get()
        if isinstance(message, BodyChunk):
            self.pending_bytes -= len(message.data)
        return message
