"""Detects that this process has just not run for a while; performs no I/O.

What a process reads right after a stall may have waited in its sockets, and
its senders may have given up on it.
"""

from __future__ import annotations

#: Seconds between two ticks while the process runs.
TICK_S = 0.1

#: Seconds without a tick that count as a stall. Operators ask another control
#: daemon after one second; an order that waited for less is still wanted.
STALL_S = 0.5

#: Seconds after a stall in which what has waited in the sockets is read.
SETTLING_S = 0.3


class StallDetector:
    """Compares the times at which the process runs."""

    def __init__(self, now: float) -> None:
        """Begin at a time in seconds that include suspended time."""
        self._ticked_at = now
        self._settled_at = now

    def tick(self, now: float) -> None:
        """Record that the process runs; to be called each ``TICK_S``."""
        if now - self._ticked_at > STALL_S:
            self._settled_at = now + SETTLING_S
        self._ticked_at = now

    def has_stalled(self, now: float) -> bool:
        """Return whether the process stands in, or has just left, a stall."""
        self.tick(now)
        return now < self._settled_at
