"""Requests that wait until an outage is over."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

#: Requests that one entry lets wait; the others are refused at once. At 40 a
#: second of a fleet of eight entries, what comes in a minute.
MAX_WAITING = 300


class OutageWait:
    """Wakes what waits whenever something may have changed."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Start with nobody waiting."""
        self._now = now
        self._event = asyncio.Event()
        self._closed = False
        self.waiting = 0

    def wake(self) -> None:
        """Let all that wait look again."""
        self._event.set()
        self._event = asyncio.Event()

    def close(self) -> None:
        """Let nothing wait any more: the process is about to stop."""
        self._closed = True
        self.wake()

    async def until(self, over: Callable[[], bool], until: float) -> bool:
        """Wait until the outage is over or a deadline; return whether it is."""
        if over():
            return True
        if self.waiting >= MAX_WAITING:
            return False
        self.waiting += 1
        try:
            return await self._wait(over, until)
        finally:
            self.waiting -= 1

    async def _wait(self, over: Callable[[], bool], until: float) -> bool:
        while not self._closed and not over():
            left_s = until - self._now()
            if left_s <= 0:
                return False
            try:
                await asyncio.wait_for(self._event.wait(), left_s)
            except TimeoutError:
                return over()
        return over()
