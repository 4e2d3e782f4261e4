"""The clock of a process; a protocol, so that tests can replace it."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """A source of time in seconds."""

    #: Start of this process in monotonic seconds; it made no promises earlier.
    began_at: float

    def now(self) -> float:
        """Return monotonic seconds; only differences are meaningful."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch, for deadlines between VMs."""


class SystemClock:
    """The clocks of the operating system."""

    def __init__(self, began_at: float | None = None) -> None:
        """Set the start time of the process; ``None`` means now."""
        self.began_at = self.now() if began_at is None else began_at

    def now(self) -> float:
        """Return seconds since the VM booted, including suspended time.

        The usual monotonic clock stops while a VM is suspended. A lease
        measured by it would still be held after other VMs consider it expired.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()
