"""How many lines of each event may be written (pure)."""

from __future__ import annotations

from typing import NamedTuple

#: Lines of one event in one second. An entry at 200 requests a second writes
#: two lines for each; what goes beyond is a storm, and tells little more.
LINES_PER_S = 400


class Suppressed(NamedTuple):
    """Lines of one event that were left out in an earlier second."""

    event: str
    number: int


class LogLimits:
    """Counts lines by event and second."""

    def __init__(self, per_s: int = LINES_PER_S) -> None:
        """Start a second without lines."""
        self._per_s = per_s
        self._second = 0
        self._counts: dict[str, int] = {}

    def allow(self, event: str) -> bool:
        """Count a line; tell whether it may be written."""
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        return count <= self._per_s

    def turn(self, now: float) -> list[Suppressed]:
        """Begin a new second if it is time; return what the last left out."""
        if int(now) == self._second:
            return []
        self._second = int(now)
        left_out = [
            Suppressed(event, count - self._per_s)
            for event, count in self._counts.items()
            if count > self._per_s
        ]
        self._counts.clear()
        return left_out
