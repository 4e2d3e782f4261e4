"""Holds requests until an outage has ended."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

#: Requests that one entry holds; further ones are refused at once. This many
#: arrive in a minute at one of eight entries that serve 40 per second together.
MAX_WAITING = 300


class OutageWait:
    """Wakes the held requests whenever the outage may have ended."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Create a wait that holds no requests yet."""
        self._now = now
        self._event = asyncio.Event()
        self._closed = False
        self.waiting = 0

    def wake(self) -> None:
        """Have all held requests check again."""
        self._event.set()
        self._event = asyncio.Event()

    def close(self) -> None:
        """Release all held requests: the process is about to stop."""
        self._closed = True
        self.wake()

    async def wait_until(
        self, has_ended: Callable[[], bool], deadline: float
    ) -> bool:
        """Wait for the end of the outage; return whether it has ended."""
        if has_ended():
            return True
        if self.waiting >= MAX_WAITING:
            return False
        self.waiting += 1
        try:
            return await self._wait(has_ended, deadline)
        finally:
            self.waiting -= 1

    async def _wait(
        self, has_ended: Callable[[], bool], deadline: float
    ) -> bool:
        while not self._closed and not has_ended():
            left_s = deadline - self._now()
            if left_s <= 0:
                return False
            try:
                await asyncio.wait_for(self._event.wait(), left_s)
            except TimeoutError:
                return has_ended()
        return has_ended()
