"""The clock that everything in a process asks, so that tests can replace it."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """A source of time in seconds."""

    #: Monotonic seconds before which this process promised nobody anything.
    began_at: float

    def now(self) -> float:
        """Return monotonic seconds; only differences mean anything."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch, for deadlines between VMs."""


class SystemClock:
    """The machine's own clocks."""

    def __init__(self, began_at: float | None = None) -> None:
        """Keep when the process began; none: now."""
        self.began_at = self.now() if began_at is None else began_at

    def now(self) -> float:
        """Return seconds since the machine started, its sleep included.

        The monotonic clock stands still while a VM is suspended: a lease that
        is counted on it would outlive the time that others wait for its end.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()
