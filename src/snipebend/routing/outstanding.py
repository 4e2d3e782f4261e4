"""The number of this entry's attempts at one upstream, with its history."""

from __future__ import annotations

from bisect import bisect_right
from collections import deque

#: Changes within this time are merged into one, which bounds the history.
MERGE_SPAN_S = 0.05
#: Changes kept: they cover at least six seconds, the age of the oldest load
#: report in use.
MAX_CHANGES = 128


class OutstandingCount:
    """A count, and its values at past times."""

    __slots__ = ('_changes', '_oldest', 'current')

    def __init__(self) -> None:
        """Create a count of zero without a history."""
        self.current = 0
        self._oldest = 0
        self._changes: deque[tuple[float, int]] = deque()

    def change(self, by: int, now: float) -> None:
        """Add to the count; ``now`` must not decrease between calls."""
        self.current = max(0, self.current + by)
        changes = self._changes
        if changes and now - changes[-1][0] < MERGE_SPAN_S:
            changes[-1] = (changes[-1][0], self.current)
            return
        changes.append((now, self.current))
        if len(changes) > MAX_CHANGES:
            self._oldest = changes.popleft()[1]

    def at(self, moment: float) -> int:
        """Return the count at a time, or the oldest recorded count."""
        index = bisect_right(self._changes, moment, key=_moment)
        return self._changes[index - 1][1] if index else self._oldest


def _moment(change: tuple[float, int]) -> float:
    return change[0]
