"""An entry's part of the calls that a cold upstream accepts.

A cold upstream accepts a number of calls within any second from all entries
together. The parts of all entries add up to that number whatever they hear of
each other's calls, as long as they agree on who they are: each entry gets the
same number of calls, and what can't be divided goes to those that come first in
an order that all compute alike. Performs no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from snipebend.hashing.rendezvous import weigh

if TYPE_CHECKING:
    from collections.abc import Collection

#: Seconds after which an entry relies on the entries it has been told of.
#: Before, control daemons may not know all of them: they list who watches them,
#: and after a failure of many processes the watches are opened one by one.
SETTLED_AFTER_S = 5.0

#: An entry that decides by a hash of its own name only, since it doesn't know
#: all names, assumes this many times the entries: the number of entries that a
#: hash selects varies by chance.
CAUTION = 2

#: Entries of the largest fleet that the project aims at.
TARGET_ENTRIES = 300

#: Entries that an entry assumes while it can't know them yet.
ASSUMED_ENTRIES = CAUTION * TARGET_ENTRIES

#: Share of a part that may be saved while there is no demand: what is saved
#: lowers the rate.
SAVED_SHARE = 0.1

#: Range of the weights of rendezvous hashing.
_MAX_WEIGHT = 0x1_0000_0000_0000_0000

#: Calls at the same moment in exact arithmetic must not pass as later ones.
_ROUNDING = 0.999


class Fleet(NamedTuple):
    """All entries as far as one of them knows."""

    #: The name by which the others know this entry.
    own: str
    #: Names of the others, including those that are cut off now.
    others: Collection[str]
    #: Number of all entries, if control knows of more than are listed.
    size: int
    #: Whether it has known them for long enough.
    is_settled: bool


class CallPart(NamedTuple):
    """The calls of one entry that may begin within any window."""

    calls: int
    #: Seconds.
    window_s: float

    @property
    def saved_calls(self) -> float:
        """Return how many calls may be saved while there is no demand."""
        return max(1, SAVED_SHARE * self.calls)

    @property
    def per_s(self) -> float:
        """Return the rate at which calls come back.

        At most the saved calls and what comes back within a window begin in it,
        rounded down, which is ``calls``.
        """
        earned = self.calls + 1 - self.saved_calls
        return _ROUNDING * earned / self.window_s

    @property
    def max_debt(self) -> float:
        """Return how far calls may overdraw the account while it is warm.

        After that many, the first call is possible one window after the last.
        """
        return max(0, self.calls - self.saved_calls)


def find_part(fleet: Fleet, upstream: str, total_calls: int) -> int:
    """Return how many of an upstream's calls are this entry's."""
    if not fleet.is_settled:
        assumed = max(ASSUMED_ENTRIES, CAUTION * fleet.size)
        return int(_is_drawn(fleet, upstream, total_calls / assumed))
    listed = len(fleet.others) + 1
    size = max(listed, fleet.size)
    calls, undivided = divmod(total_calls, size)
    if not undivided:
        return calls
    if size > listed:
        # The order of entries that are not listed is unknown.
        drawn = _is_drawn(fleet, upstream, undivided / (CAUTION * size))
        return calls + int(drawn)
    own_weight = weigh(fleet.own, upstream)
    before = sum(weigh(name, upstream) > own_weight for name in fleet.others)
    return calls + int(before < undivided)


def _is_drawn(fleet: Fleet, upstream: str, chance: float) -> bool:
    """Return whether this entry is one of a share that a hash selects."""
    return weigh(fleet.own, upstream) >= (1 - chance) * _MAX_WEIGHT
