"""What an upstream's refusals tell the choice of the next call (pure).

An upstream that refuses answers within milliseconds: it has few calls under
way, and would draw the next call as the one with the least work. After a
refusal it gets work last for a while, the longer the more it has refused in a
row. Closing it instead would leave callers without an upstream where all of
them refuse a part of their requests. Entries tell each other what they hear:
alone, each would have to be refused by every such upstream.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from msgspec import Struct

#: Seconds for which an upstream gets work last after a refusal, doubled with
#: each further one in a row.
FIRST_AVOIDED_S = 0.1
LONGEST_AVOIDED_S = 4.0

_MOST_DOUBLED = 8


class RefusalsTold(Struct, frozen=True, array_like=True):
    """What an entry tells the others of one upstream's refusals."""

    number: int
    #: Seconds since it heard the last one.
    age_s: float


@dataclass(slots=True)
class Refusals:
    """The refusals of one upstream since it last took a request."""

    #: Those in a row; of calls that were under way at once, one counts.
    number: int = 0
    #: When any entry heard the last one; monotonic seconds.
    heard_at: float = -math.inf
    #: When this entry heard the last one of an own call.
    own_at: float = -math.inf
    #: When the last own call began that it took.
    taken_at: float = -math.inf

    def note(self, begun_at: float, now: float) -> None:
        """Take note of a refusal of a call that began then."""
        if not self.number or begun_at >= self.heard_at:
            self.number += 1
        self.heard_at = now
        self.own_at = now

    def note_answer(self, begun_at: float) -> None:
        """Take note that it took a call that began then."""
        self.taken_at = max(self.taken_at, begun_at)
        if begun_at > self.heard_at:
            self.number = 0

    def take_told(self, told: RefusalsTold, now: float) -> None:
        """Take over what another entry heard, unless it took a call since."""
        told_at = now - told.age_s
        if told_at <= self.taken_at:
            return
        self.number = max(self.number, told.number)
        self.heard_at = max(self.heard_at, told_at)

    def tell(self, now: float) -> RefusalsTold | None:
        """Return what to tell the others; none: nothing that lasts."""
        if not self.number or now >= self.own_at + self._span_s:
            return None
        return RefusalsTold(self.number, now - self.own_at)

    def is_avoided(self, now: float) -> bool:
        """Tell whether it gets work last."""
        return self.number > 0 and now < self.heard_at + self._span_s

    @property
    def _span_s(self) -> float:
        doublings = min(self.number - 1, _MOST_DOUBLED)
        return min(LONGEST_AVOIDED_S, math.ldexp(FIRST_AVOIDED_S, doublings))
