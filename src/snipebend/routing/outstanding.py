"""An entry's own outstanding attempts at one upstream, and their past."""

from __future__ import annotations

from bisect import bisect_right
from collections import deque

#: Changes within this span are kept as one, which bounds the history.
MERGE_SPAN_S = 0.05
#: Changes kept: at least six seconds, the age of the oldest report in use.
MAX_CHANGES = 128


class OutstandingCount:
    """A count now, and what it was at a past moment."""

    __slots__ = ('_changes', '_oldest', 'current')

    def __init__(self) -> None:
        """Start at zero."""
        self.current = 0
        self._oldest = 0
        self._changes: deque[tuple[float, int]] = deque()

    def change(self, by: int, now: float) -> None:
        """Add to the count; times never go back."""
        self.current = max(0, self.current + by)
        changes = self._changes
        if changes and now - changes[-1][0] < MERGE_SPAN_S:
            changes[-1] = (changes[-1][0], self.current)
            return
        changes.append((now, self.current))
        if len(changes) > MAX_CHANGES:
            self._oldest = changes.popleft()[1]

    def at(self, moment: float) -> int:
        """Return the count at a moment, or the oldest that is known."""
        place = bisect_right(self._changes, moment, key=_moment)
        return self._changes[place - 1][1] if place else self._oldest


def _moment(change: tuple[float, int]) -> float:
    return change[0]
