"""An upstream's limit of requests a second, kept by all entries (pure).

The load: an upstream in need names how many requests a second it takes from all
entries together, and each entry hears of the others' calls some hundredths of
a second late. Each entry keeps the same account of it: the account grows by
the limit, and each call of any entry is paid from it as soon as it is known.
What several entries spend before they hear of each other leaves a debt, and
nobody calls until it is paid: the rate holds in the mean, whatever the delay.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

#: Calls that may be saved up while nobody asks for any.
MOST_SAVED = 2.0

#: Seconds of the limit's calls that may be saved up, for limits of hundreds.
MOST_SAVED_S = 0.1

#: Least calls a second: only an answer tells that a limit has ended, so one of
#: zero is tried now and then.
LEAST_PER_S = 0.25


class LimitWord(NamedTuple):
    """What an upstream said last of its limit, as one entry heard it."""

    #: Requests a second from all entries together; none: no limit any more.
    per_s: float | None
    #: Monotonic seconds.
    heard_at: float


class Spent(NamedTuple):
    """Calls of one upstream that an entry has begun under its limit."""

    #: Wall seconds: the life of the entry that counts.
    started_at: float
    calls: int


@dataclass(slots=True)
class RateLimit:
    """The account of one upstream that has named a limit."""

    word: LimitWord
    #: Until when the account has grown; monotonic seconds.
    settled_at: float
    #: Calls that may begin now; below 0: a debt.
    balance: float = 0
    #: Own calls since the account was opened.
    own_calls: int = 0
    _others: dict[str, Spent] = field(default_factory=dict)

    @property
    def per_s(self) -> float:
        """Return the calls a second that all entries may begin together."""
        return max(LEAST_PER_S, self.word.per_s or 0)

    def settle(self, now: float, share: float) -> None:
        """Let the account grow until now.

        ``share`` is the part of all entries that this one hears, itself
        included: entries that are cut off from each other each spend no more
        than their part of the limit.
        """
        grown = self.balance + share * self.per_s * (now - self.settled_at)
        most = MOST_SAVED + MOST_SAVED_S * self.per_s
        self.balance = min(most, grown)
        self.settled_at = now

    def has_room(self) -> bool:
        """Tell whether a call may begin, as of the last settlement."""
        return self.balance >= 1

    def room_after_s(self, share: float) -> float:
        """Return seconds until a call may begin if nobody else begins one."""
        return max(0, 1 - self.balance) / (share * self.per_s)

    def note_call(self) -> None:
        """Pay for an own call."""
        self.own_calls += 1
        self.balance -= 1

    def take_spent(self, entry: str, spent: Spent) -> None:
        """Pay for what another entry has begun since it told last."""
        known = self._others.get(entry)
        self._others[entry] = spent
        if known is None or known.started_at != spent.started_at:
            # What it began before then is not known by its time.
            return
        self.balance -= max(0, spent.calls - known.calls)
