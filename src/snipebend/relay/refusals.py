"""What an upstream's refusals tell the choice of the next call (pure).

An upstream that refuses answers within milliseconds: it has few calls under
way, and would draw the next call as the one with the least work. After a
refusal it gets work last for a while, the longer the more it has refused in a
row. Closing it instead would leave callers without an upstream where all of
them refuse a part of their requests.
"""

from __future__ import annotations

from dataclasses import dataclass

#: Seconds for which an upstream gets work last after a refusal, doubled with
#: each further one in a row.
FIRST_AVOIDED_S = 0.1
LONGEST_AVOIDED_S = 4.0

_MOST_DOUBLED = 8


@dataclass(slots=True)
class Refusals:
    """The refusals of one upstream since it last took a request."""

    #: Those in a row; of calls that were under way at once, one counts.
    number: int = 0
    #: When the last one was heard; monotonic seconds.
    heard_at: float = 0

    def note(self, begun_at: float, now: float) -> None:
        """Take note of a refusal of a call that began then."""
        if not self.number or begun_at >= self.heard_at:
            self.number += 1
        self.heard_at = now

    def note_answer(self) -> None:
        """Take note that it took a request."""
        self.number = 0

    def is_avoided(self, now: float) -> bool:
        """Tell whether it gets work last."""
        if not self.number:
            return False
        doubled = 2.0 ** min(self.number - 1, _MOST_DOUBLED)
        span_s = min(LONGEST_AVOIDED_S, FIRST_AVOIDED_S * doubled)
        return now < self.heard_at + span_s
