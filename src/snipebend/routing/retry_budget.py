"""A budget that keeps retries a small share of requests."""

from __future__ import annotations

#: Retries that a quiet entry may make at once.
RESERVE = 3.0
#: Retries a second that a quiet entry earns without requests.
TRICKLE_PER_S = 0.1

#: Requests whose unused share an entry may save, unless the fleet's slack
#: bounds what it saves.
SAVED_REQUESTS = 100

#: Share of the fleet's slack that all entries may save together; the rest is
#: for what they earn without requests, and for entries that start anew with the
#: reserve. With 23 saved by each of 14 entries, a service whose groups had both
#: broken got 509 retries in 10 s for 1,691 requests, of 462 that are allowed.
SAVED_SHARE = 0.5


def savings_of_one(slack: float, entries: int) -> float:
    """Return the retries that one of so many entries may save."""
    return SAVED_SHARE * slack / max(1, entries)


class RetryBudget:
    """Each request earns a share of a retry, each retry costs one.

    However the calls mix, retries never exceed ``ratio`` times the requests,
    plus what was saved, plus the trickle.
    """

    __slots__ = (
        '_balance',
        '_filled_at',
        '_ratio',
        '_savings',
        'granted',
        'requests',
    )

    def __init__(self, ratio: float) -> None:
        """Start with the reserve."""
        self._ratio = ratio
        self._balance = RESERVE
        self._savings: float | None = None
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

    def take_savings(self, savings: float) -> None:
        """Take over how many retries may be saved."""
        self._savings = savings
        self._balance = min(self._cap(), self._balance)

    def note_request(self) -> None:
        """Earn the share of one request; a day's savings aren't kept."""
        self.requests += 1
        self._balance = min(self._cap(), self._balance + self._ratio)

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
        reserve = min(RESERVE, self._cap())
        if self._balance < reserve:
            earned = (now - since) * TRICKLE_PER_S
            self._balance = min(reserve, self._balance + earned)

    def _cap(self) -> float:
        if self._savings is None:
            return RESERVE + SAVED_REQUESTS * self._ratio
        # One retry can always be made, or a quiet entry never makes any.
        return max(1, self._savings)
