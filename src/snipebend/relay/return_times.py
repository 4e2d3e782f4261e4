"""When refused callers should come back.

Performs no I/O. Answers a load under which many callers are refused: told the
same time, they would come back at once and be refused again.
"""

from __future__ import annotations

#: Least seconds until a refused caller comes back: about a work item.
MIN_WAIT_S = 0.2

#: Longest wait, in seconds and as a share of the caller's time left: callers
#: don't wait for longer.
MAX_WAIT_S = 2.5
MAX_WAIT_SHARE = 0.3


class ReturnTimes:
    """Spreads the returns of refused callers over time."""

    def __init__(self) -> None:
        """Create without refused callers."""
        self._next_at: float = 0

    def refuse(
        self, now: float, time_left_s: float, spare_per_s: float
    ) -> float:
        """Return seconds until the next refused caller should come back.

        ``spare_per_s`` is the rate at which places come free that no more
        urgent or punctual request needs. Callers come back at that rate, one
        after the other, and at the latest while they still have most of their
        time.
        """
        longest_s = _longest_wait_s(time_left_s)
        if spare_per_s <= 0:
            return longest_s
        wait_s = min(longest_s, max(MIN_WAIT_S, self._next_at - now))
        self._next_at = now + wait_s + 1 / spare_per_s
        return wait_s

    def refuse_in_outage(self, left_s: float, time_left_s: float) -> float:
        """Return seconds until a caller comes back; the outage ends then."""
        return min(max(MIN_WAIT_S, left_s), _longest_wait_s(time_left_s))


def _longest_wait_s(time_left_s: float) -> float:
    return min(MAX_WAIT_S, MAX_WAIT_SHARE * max(0, time_left_s))
