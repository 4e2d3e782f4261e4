"""How long passes of groups take, as streams of one entry show it (pure)."""

from __future__ import annotations

from collections import Counter, defaultdict


class PaceMeter:
    """Sums up what streams show, by group, until it is told.

    Each pass of a group brings one event to each of its streams.
    """

    def __init__(self) -> None:
        """Start without any."""
        self._events: Counter[str] = Counter()
        self._seconds: defaultdict[str, float] = defaultdict(float)

    def note(self, group: str, events: int, seconds: float) -> None:
        """Take note of events that came so many seconds after the last."""
        self._events[group] += events
        self._seconds[group] += seconds

    def take(self) -> dict[str, tuple[int, float]]:
        """Return events and seconds by group since the last call."""
        taken = {
            group: (events, self._seconds[group])
            for group, events in self._events.items()
        }
        self._events.clear()
        self._seconds.clear()
        return taken
