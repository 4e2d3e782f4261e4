"""When a group's counts are worth what reading them costs (pure).

Each reading is paid for, lets the group rest, and a change of its map lengthens
passes for a while. Entries see for nothing how long passes take: as long as
streams are on time, nobody gains from another map, and when demand turns away
from the one in force, passes lengthen at once.
"""

from __future__ import annotations

from enum import Enum

#: Passes are short below this share of what a stream may pause: single passes
#: take twice the mean.
CALM_SHARE = 0.5

#: How much longer passes must have become since a look that changed nothing.
LONGER = 1.25

#: Seconds after which a look that changed nothing is repeated all the same.
LOOK_AGAIN_S = 1.0

#: Seconds between two looks while no entry tells how long passes take.
BLIND_EVERY_S = 0.5

#: Seconds over which choices are counted: two or three passes.
SPAN_S = 0.15

#: Seconds after a change at which the same counts are read once more: they
#: then tell of the demand four times as well.
REFINE_S = 0.8


class Reading(Enum):
    """What to read now."""

    NOTHING = 'nothing'
    #: The counts at which a span begins.
    BEGIN = 'begin'
    #: The counts at which it ends.
    END = 'end'


class ReadingPlan:
    """The readings of one group."""

    def __init__(self, allowed_s: float) -> None:
        """Keep how long a stream may pause in seconds; 0: not told."""
        self._allowed_s = allowed_s
        self._end_at: float | None = None
        #: Whether demand may have turned before the span, but not within it.
        self.is_new = True
        self._look_at: float = 0
        #: The pace of a look that changed nothing.
        self._accepted_s: float = 0

    @property
    def spans(self) -> bool:
        """Tell whether a span has begun and not ended."""
        return self._end_at is not None

    def next_reading(self, now: float, pass_s: float | None) -> Reading:
        """Return what to read; ``pass_s`` are the seconds of a pass."""
        if self._end_at is None:
            is_long = self._is_long(now, pass_s)
            return Reading.BEGIN if is_long else Reading.NOTHING
        return Reading.END if now >= self._end_at else Reading.NOTHING

    def note_begun(self, now: float) -> None:
        """Take note that a span has begun."""
        self._end_at = now + SPAN_S
        self.is_new = True

    def note_failed(self, now: float) -> None:
        """Take note that a reading brought nothing."""
        self._end_at = None
        self._accepted_s = 0
        self._look_at = now + BLIND_EVERY_S

    def note_kept(self, now: float, pass_s: float | None) -> None:
        """Take note that no other map is worth its loads."""
        self._end_at = None
        self._accepted_s = pass_s or 0
        is_told = pass_s is not None and self._allowed_s > 0
        self._look_at = now + BLIND_EVERY_S
        if is_told:
            self._look_at = now + LOOK_AGAIN_S

    def note_changed(self, now: float) -> None:
        """Take note that the group has got another map."""
        self._end_at = now + REFINE_S
        self.is_new = False
        self._accepted_s = 0

    def _is_long(self, now: float, pass_s: float | None) -> bool:
        if pass_s is None or not self._allowed_s:
            return now >= self._look_at
        if pass_s < CALM_SHARE * self._allowed_s:
            return False
        if now >= self._look_at:
            return True
        return 0 < LONGER * self._accepted_s < pass_s
