"""A budget that limits retries to a small share of requests."""

from __future__ import annotations

#: Retries that an entry without recent requests can make at once.
RESERVE = 3.0
#: Retries per second that an entry earns without requests, up to the reserve.
IDLE_RETRIES_PER_S = 0.1

#: Requests whose unused retry share an entry can save, if no cap from the
#: fleet's slack applies.
MAX_SAVED_REQUESTS = 100

#: Share of the fleet's slack that all entries together can save. The rest
#: covers retries earned without requests, and restarted entries, which begin
#: with the reserve. With 23 saved retries on each of 14 entries, a service
#: whose groups had both failed got 509 retries in 10 s for 1,691 requests; 462
#: are allowed.
SLACK_SHARE = 0.5


def balance_cap_per_entry(slack: float, entries: int) -> float:
    """Return the retries that each of ``entries`` entries can save."""
    return SLACK_SHARE * slack / max(1, entries)


class RetryBudget:
    """Each request earns a share of a retry, and each retry costs one.

    For any order of calls, retries never exceed ``ratio`` times the requests,
    plus the saved retries, plus those earned over time without requests.
    """

    __slots__ = (
        '_balance',
        '_balance_cap',
        '_ratio',
        '_refilled_at',
        'granted',
        'requests',
    )

    def __init__(self, ratio: float) -> None:
        """Create a budget that holds the reserve."""
        self._ratio = ratio
        self._balance = RESERVE
        self._balance_cap: float | None = None
        self._refilled_at: float | None = None
        self.requests = 0
        self.granted = 0

    @property
    def left(self) -> float:
        """Return the retries available now."""
        return self._balance

    @property
    def balance_cap(self) -> float:
        """Return how many retries can be saved."""
        return self._cap()

    def update_ratio(self, ratio: float) -> None:
        """Set a new ratio."""
        self._ratio = ratio

    def update_balance_cap(self, cap: float) -> None:
        """Set how many retries can be saved."""
        self._balance_cap = cap
        self._balance = min(self._cap(), self._balance)

    def record_request(self) -> None:
        """Earn the share of one request, up to the balance cap.

        The cap keeps the savings of a whole day from accumulating.
        """
        self.requests += 1
        self._balance = min(self._cap(), self._balance + self._ratio)

    def try_acquire(self, now: float) -> bool:
        """Take one retry; return whether the budget allowed it."""
        self._refill(now)
        if self._balance < 1:
            return False
        self._balance -= 1
        self.granted += 1
        return True

    def _refill(self, now: float) -> None:
        since = now if self._refilled_at is None else self._refilled_at
        self._refilled_at = now
        reserve = min(RESERVE, self._cap())
        if self._balance < reserve:
            earned = (now - since) * IDLE_RETRIES_PER_S
            self._balance = min(reserve, self._balance + earned)

    def _cap(self) -> float:
        if self._balance_cap is None:
            return RESERVE + MAX_SAVED_REQUESTS * self._ratio
        # At least one retry can be saved; otherwise an entry with few requests
        # could never retry.
        return max(1, self._balance_cap)
