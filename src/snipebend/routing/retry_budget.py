"""A budget that limits retries to a small share of requests."""

from __future__ import annotations

from typing import NamedTuple

#: Retries that an entry without recent requests can make at once.
RESERVE = 3.0
#: Retries per second that an entry earns without requests, up to the reserve.
IDLE_RETRIES_PER_S = 0.1
#: Retries that an entry can make before its first request has earned any.
INITIAL_RETRIES = 1.0

#: Requests whose unused retry share an entry can save, if no allowance from
#: the fleet's slack applies.
MAX_SAVED_REQUESTS = 100

#: Shares of the fleet's slack that all entries together can spend: what they
#: saved, what they earn in a second without requests, and what they begin with
#: after a restart. In 10 s, four restarts of all entries use up the slack.
SAVED_SHARE = 0.5
IDLE_SHARE_PER_S = 0.01
INITIAL_SHARE = 0.1


class RetryAllowance(NamedTuple):
    """The retries of one entry beyond the share of its requests."""

    #: Retries that it can save.
    balance_cap: float
    #: Retries that it begins with.
    initial: float
    #: Retries that it earns per second without requests, up to the reserve.
    idle_per_s: float


def allowance_per_entry(slack: float, entries: int) -> RetryAllowance:
    """Divide the fleet's slack, in retries, among all entries."""
    share = slack / max(1, entries)
    return RetryAllowance(
        # At least one retry can be saved; otherwise an entry with few requests
        # could never retry.
        max(1, SAVED_SHARE * share),
        min(INITIAL_RETRIES, INITIAL_SHARE * share),
        min(IDLE_RETRIES_PER_S, IDLE_SHARE_PER_S * share),
    )


class RetryBudget:
    """Each request earns a share of a retry, and each retry costs one.

    For any order of calls, retries never exceed ``ratio`` times the requests,
    plus the saved retries, plus those earned over time without requests.
    """

    __slots__ = (
        '_allowance',
        '_balance',
        '_ratio',
        '_refilled_at',
        'granted',
        'requests',
    )

    def __init__(
        self, ratio: float, allowance: RetryAllowance | None = None
    ) -> None:
        """Create a budget with an allowance from the fleet's slack.

        Without an allowance it holds the reserve.
        """
        self._ratio = ratio
        self._allowance = allowance
        self._balance = RESERVE if allowance is None else allowance.initial
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

    def update_allowance(self, allowance: RetryAllowance) -> None:
        """Set a new allowance; saved retries beyond it are lost."""
        self._allowance = allowance
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
            earned = (now - since) * self._idle_per_s()
            self._balance = min(reserve, self._balance + earned)

    def _cap(self) -> float:
        if self._allowance is None:
            return RESERVE + MAX_SAVED_REQUESTS * self._ratio
        return self._allowance.balance_cap

    def _idle_per_s(self) -> float:
        if self._allowance is None:
            return IDLE_RETRIES_PER_S
        return self._allowance.idle_per_s
