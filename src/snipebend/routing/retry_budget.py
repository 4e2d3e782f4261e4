"""A budget that keeps retries a small share of requests."""

from __future__ import annotations

#: Retries that a quiet entry may make at once.
RESERVE = 3.0
#: Retries a second that a quiet entry earns without requests.
TRICKLE_PER_S = 0.1


class RetryBudget:
    """Each request earns a share of a retry, each retry costs one.

    However the calls mix, retries never exceed ``ratio`` times the requests,
    plus the reserve, plus the trickle.
    """

    __slots__ = ('_balance', '_filled_at', '_ratio', 'granted', 'requests')

    def __init__(self, ratio: float) -> None:
        """Start with the reserve."""
        self._ratio = ratio
        self._balance = RESERVE
        self._filled_at: float | None = None
        self.requests = 0
        self.granted = 0

    @property
    def left(self) -> float:
        """Return the retries that may be made now."""
        return self._balance

    def take_ratio(self, ratio: float) -> None:
        """Take over a new ratio."""
        self._ratio = ratio

    def note_request(self) -> None:
        """Earn the share of one request; a day's savings aren't kept."""
        self.requests += 1
        cap = RESERVE + 100 * self._ratio
        self._balance = min(cap, self._balance + self._ratio)

    def take(self, now: float) -> bool:
        """Take one retry if the budget has it."""
        self._fill(now)
        if self._balance < 1:
            return False
        self._balance -= 1
        self.granted += 1
        return True

    def _fill(self, now: float) -> None:
        since = now if self._filled_at is None else self._filled_at
        self._filled_at = now
        if self._balance < RESERVE:
            earned = (now - since) * TRICKLE_PER_S
            self._balance = min(RESERVE, self._balance + earned)
