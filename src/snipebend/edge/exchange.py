"""What an upstream's connection tells about one request that it was sent."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from snipebend.relay.facts import ResponseFacts, ResponseHead


class Begun(NamedTuple):
    """The head of the answer, and what it says."""

    head: ResponseHead
    facts: ResponseFacts


class Piece(NamedTuple):
    """Bytes of the body, in their order."""

    data: bytes


class Whole(NamedTuple):
    """The answer has ended and is complete."""


class Broken(NamedTuple):
    """No more of the answer will come."""

    reason: str


Message = Begun | Piece | Whole | Broken


class Exchange:
    """The messages about one answer, from the connection to its reader."""

    def __init__(self, request_id: str) -> None:
        """Start before the first message."""
        self.request_id = request_id
        self._messages: asyncio.Queue[Message] = asyncio.Queue()

    @property
    def waiting(self) -> int:
        """Return how many messages wait for the reader."""
        return self._messages.qsize()

    def tell(self, message: Message) -> None:
        """Pass a message on."""
        self._messages.put_nowait(message)

    async def receive(self) -> Message:
        """Wait for the next message."""
        return await self._messages.get()
