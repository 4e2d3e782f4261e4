"""When a group's counts are worth what reading them costs (pure).

Each reading is paid for, lets the group rest, and a change of its map lengthens
passes for a while. Entries see for nothing how long passes take: as long as
streams are on time, nobody gains from another map, and when demand turns away
from the one in force, passes lengthen at once.
"""

from __future__ import annotations

import math
from enum import Enum

#: Passes are short below this share of what a stream may pause: single passes
#: take twice the mean.
CALM_SHARE = 0.5

#: How much longer passes must have become since a look that changed nothing, or
#: since a change, for demand to have turned.
LONGER = 1.25

#: Seconds between two glances at one rank after a look that changed nothing,
#: while passes are long all the same. They are so after an outage or in a
#: burst, and a turn of demand hardly shows then: two turns were answered
#: 0.8 s late when looks were repeated every second. A glance costs a sixth of a
#: look.
GLANCE_EVERY_S = 0.3

#: Seconds after a look that changed nothing until the next one, while passes
#: stay long, whatever a glance tells: it bounds how long a map that doesn't fit
#: stays in force. One rank of 72 has two or three streams, and shows a turn
#: after seconds or not at all: on a calm day maps didn't fit for 6 s and half
#: of the streams were late. The looks cost 0.0013 of worth there.
AGAIN_S = 1.0

#: Seconds between two looks while no entry tells how long passes take.
BLIND_EVERY_S = 0.5

#: Seconds over which choices are counted: two or three passes.
SPAN_S = 0.15

#: Seconds by which a span with too few choices is drawn out at most: each
#: time it is twice as long, since each reading is paid for.
MOST_SPAN_S = 1.2

#: Seconds after a change at which the same counts are read once more, if passes
#: are long still: they then tell of the demand four times as well.
REFINE_S = 0.8


class Reading(Enum):
    """What to read now."""

    NOTHING = 'nothing'
    #: The counts at which a span begins.
    BEGIN = 'begin'
    #: The counts at which it ends.
    END = 'end'
    #: The counts of one rank: has demand turned since the last reading?
    GLANCE = 'glance'


class ReadingPlan:
    """The readings of one group."""

    def __init__(self, allowed_s: float) -> None:
        """Keep how long a stream may pause in seconds; 0: not told."""
        self._allowed_s = allowed_s
        self._end_at: float | None = None
        self._span_s = SPAN_S
        #: Whether demand may have turned before the span, but not within it.
        self.is_new = True
        self._look_at: float = 0
        #: When to glance at one rank; none: no look has changed nothing.
        self._glance_at: float | None = None
        #: When to look in any case while passes stay long.
        self._again_at: float = 0
        #: The pace of a look that changed nothing.
        self._accepted_s: float = 0
        #: The shortest passes since the last change.
        self._shortest_s = math.inf

    @property
    def spans(self) -> bool:
        """Tell whether a span has begun and not ended."""
        return self._end_at is not None

    def next_reading(self, now: float, pass_s: float | None) -> Reading:
        """Return what to read; ``pass_s`` are the seconds of a pass."""
        if self._end_at is None:
            return self._look_or_glance(now, pass_s)
        if not self.is_new:
            return self._refine(now, self._end_at, pass_s)
        return Reading.END if now >= self._end_at else Reading.NOTHING

    def note_begun(self, now: float) -> None:
        """Take note that a span has begun."""
        self._span_s = SPAN_S
        self._end_at = now + self._span_s
        self._glance_at = None
        self.is_new = True

    def note_short(self, now: float) -> None:
        """Take note that a span that has ended tells too little yet."""
        self._span_s = min(MOST_SPAN_S, 2 * self._span_s)
        self._end_at = now + self._span_s

    def note_failed(self, now: float) -> None:
        """Take note that a reading brought nothing."""
        self._end_at = None
        self._glance_at = None
        self._look_at = now + BLIND_EVERY_S

    def note_kept(self, now: float, pass_s: float | None) -> None:
        """Take note that no other map is worth its loads."""
        self._end_at = None
        self._accepted_s = pass_s or 0
        is_told = pass_s is not None and self._allowed_s > 0
        self._look_at = now + BLIND_EVERY_S
        self._glance_at = now + GLANCE_EVERY_S if is_told else None
        self._again_at = now + AGAIN_S

    def note_changed(self, now: float) -> None:
        """Take note that the group has got another map."""
        self._end_at = now + REFINE_S
        self._glance_at = None
        self.is_new = False
        self._accepted_s = 0
        self._shortest_s = math.inf

    def note_glanced(self, now: float) -> None:
        """Take note that demand hasn't turned."""
        self._glance_at = now + GLANCE_EVERY_S

    def _refine(
        self, now: float, end_at: float, pass_s: float | None
    ) -> Reading:
        """Return what to read after a change.

        Passes that lengthen tell of a turn within the span, which would tell
        neither demand: another one begins at once.
        """
        if self._is_calm(pass_s):
            # Nobody needs a better map.
            if now >= end_at:
                self._end_at = None
            return Reading.NOTHING
        if pass_s is not None:
            if pass_s > LONGER * self._shortest_s:
                return Reading.BEGIN
            self._shortest_s = min(self._shortest_s, pass_s)
        return Reading.END if now >= end_at else Reading.NOTHING

    def _is_calm(self, pass_s: float | None) -> bool:
        return pass_s is not None and pass_s < CALM_SHARE * self._allowed_s

    def _look_or_glance(self, now: float, pass_s: float | None) -> Reading:
        if pass_s is None or not self._allowed_s:
            return Reading.BEGIN if now >= self._look_at else Reading.NOTHING
        if self._is_calm(pass_s):
            return Reading.NOTHING
        if self._glance_at is None:
            return Reading.BEGIN if now >= self._look_at else Reading.NOTHING
        if pass_s > LONGER * self._accepted_s or now >= self._again_at:
            return Reading.BEGIN
        return Reading.GLANCE if now >= self._glance_at else Reading.NOTHING
