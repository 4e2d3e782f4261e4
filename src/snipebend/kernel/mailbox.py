"""Mailboxes: bounded queues for messages between tasks."""

from __future__ import annotations

import asyncio
from typing import Generic, TypeVar

Message = TypeVar('Message')

#: Maximum number of queued messages; further ones are rejected.
DEFAULT_CAPACITY = 10_000


class Mailbox(Generic[Message]):
    """A bounded queue of typed messages with one reader."""

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        """Create an empty mailbox for at most ``capacity`` messages."""
        self._queue: asyncio.Queue[Message] = asyncio.Queue(capacity)

    def post(self, message: Message) -> bool:
        """Add a message; return ``False`` if the mailbox is full."""
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            return False
        return True

    async def receive(self) -> Message:
        """Wait for the next message."""
        return await self._queue.get()

    def __len__(self) -> int:
        """Return the number of queued messages."""
        return self._queue.qsize()
