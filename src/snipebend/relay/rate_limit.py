"""A rate limit of one upstream, shared by all entries.

Performs no I/O.

An overloaded upstream announces how many requests per second it accepts from
all entries together, and each entry receives the call counts of the others some
hundredths of a second late. Each entry keeps the same token bucket: it fills at
the announced rate, and each call of any entry is deducted as soon as it is
known. Calls that several entries begin before they receive each other's counts
make the balance negative, and no entry calls until it has recovered: the
average rate holds, whatever the delay.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple, Self

from snipebend.relay.token_account import TokenAccount

#: Calls that may accumulate in the bucket while there is no demand.
MAX_SAVED_CALLS = 2.0

#: Seconds' worth of calls that may accumulate, for limits of hundreds.
MAX_SAVED_S = 0.1

#: Lowest rate, in calls per second: only a response reports that a limit was
#: lifted, so an upstream with a limit of zero still gets a call now and then.
MIN_PER_S = 0.25


class LimitNotice(NamedTuple):
    """The limit that an upstream last announced."""

    #: Requests per second from all entries together; None: limit lifted.
    per_s: float | None
    #: Monotonic seconds.
    received_at: float


class CallCount(NamedTuple):
    """Calls that an entry has begun under an upstream's limit."""

    #: Wall-clock start time of the entry, which identifies its incarnation.
    started_at: float
    calls: int


@dataclass(slots=True)
class RateLimit:
    """The token bucket of one upstream that has announced a limit."""

    notice: LimitNotice
    account: TokenAccount
    #: Calls of this entry since the bucket was created.
    own_calls: int = 0
    _others: dict[str, CallCount] = field(default_factory=dict)

    @classmethod
    def announced(cls, notice: LimitNotice, now: float) -> Self:
        """Return the limit of a notice, with an account that starts empty."""
        return cls(notice, TokenAccount(now))

    @property
    def per_s(self) -> float:
        """Return the rate of calls that all entries may begin together."""
        return max(MIN_PER_S, self.notice.per_s or 0)

    def refill(self, now: float, share: float) -> None:
        """Refill the bucket up to the current time.

        ``share`` is the share of entries whose messages are received here, this
        entry included: entries that are cut off from each other each use no
        more than their part of the limit.
        """
        max_balance = MAX_SAVED_CALLS + MAX_SAVED_S * self.per_s
        self.account.refill(now, share * self.per_s, max_balance)

    def has_room(self) -> bool:
        """Return whether a call may begin, as of the last refill."""
        return self.account.has_room()

    def seconds_until_room(self, share: float) -> float:
        """Return seconds until a call may begin if other entries begin none."""
        return self.account.seconds_until_room(share * self.per_s)

    def record_call(self) -> None:
        """Deduct a call of this entry."""
        self.own_calls += 1
        self.account.balance -= 1

    def apply_call_count(self, entry: str, spent: CallCount) -> None:
        """Deduct the calls another entry began since its previous report."""
        known = self._others.get(entry)
        self._others[entry] = spent
        if known is None or known.started_at != spent.started_at:
            # It is unknown when the calls counted so far began.
            return
        self.account.balance -= max(0, spent.calls - known.calls)
