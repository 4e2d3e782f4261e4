"""Rate limits for the log lines of each event. Performs no I/O."""

from __future__ import annotations

from typing import NamedTuple

#: Lines of one event per second. An entry at 200 requests per second writes
#: two lines for each request; lines beyond that add little information.
LINES_PER_S = 400


class Suppressed(NamedTuple):
    """The number of lines of an event suppressed in an earlier second."""

    event: str
    number: int


class LogLimits:
    """Counts lines by event and second."""

    def __init__(self, per_s: int = LINES_PER_S) -> None:
        """Create limits of ``per_s`` lines per event and second."""
        self._per_s = per_s
        self._second = 0
        self._counts: dict[str, int] = {}

    def allow(self, event: str) -> bool:
        """Count a line and return whether it is within the limit."""
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        return count <= self._per_s

    def start_second(self, now: float) -> list[Suppressed]:
        """Start a new second if due; return what was suppressed in the last."""
        if int(now) == self._second:
            return []
        self._second = int(now)
        suppressed = [
            Suppressed(event, count - self._per_s)
            for event, count in self._counts.items()
            if count > self._per_s
        ]
        self._counts.clear()
        return suppressed
