"""Pass times of upstream groups, measured on the streams of one entry.

Performs no I/O.
"""

from __future__ import annotations

from collections import Counter, defaultdict


class PassTimeMeter:
    """Adds up events and their intervals by group until they are drained.

    Each pass of a group produces one event for each of its streams.
    """

    def __init__(self) -> None:
        """Create empty sums."""
        self._events: Counter[str] = Counter()
        self._seconds: defaultdict[str, float] = defaultdict(float)

    def record(self, group: str, events: int, seconds: float) -> None:
        """Add events that arrived the given time after the previous ones."""
        self._events[group] += events
        self._seconds[group] += seconds

    def drain(self) -> dict[str, tuple[int, float]]:
        """Return events and seconds by group since the previous call."""
        taken = {
            group: (events, self._seconds[group])
            for group, events in self._events.items()
        }
        self._events.clear()
        self._seconds.clear()
        return taken
