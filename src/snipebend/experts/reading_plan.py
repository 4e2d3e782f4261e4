"""Schedule of the readings of a group's expert counts; no I/O.

Each reading is charged for and pauses the group, and each change of its map
lengthens passes for a while. Entries measure the pass time without extra cost:
while streams are on time, a better map has no benefit, and when demand shifts
away from the map in force, passes lengthen at once.
"""

from __future__ import annotations

import math
from enum import Enum

#: Streams count as on time while the mean pass time is below this share of the
#: longest pause allowed between two events, since single passes take twice the
#: mean.
ON_TIME_PAUSE_SHARE = 0.5

#: Factor by which passes must have lengthened, since a check that kept the map
#: or since a change of the map, to indicate a shift of demand.
SHIFT_GROWTH = 1.25

#: Seconds between two spot checks of one rank after a check that kept the map,
#: while passes stay long. They do so after an outage or in a burst, and a shift
#: of demand hardly shows in the pass time then: when all checks were repeated
#: every second, the response to two shifts was 0.8 s late. A spot check costs a
#: sixth of a full check.
SPOT_CHECK_INTERVAL_S = 0.3

#: Seconds after a check that kept the map until the next full check, while
#: passes stay long, whatever spot checks find. This bounds how long an outdated
#: map stays in force. One rank of 72 has two or three streams, and shows a
#: shift only after seconds or not at all: on a calm simulated day, maps were
#: outdated for 6 s and half of the streams were late. The additional checks
#: cost 0.0013 of the full value of that day's responses.
RECHECK_AFTER_S = 1.0

#: Seconds between two checks while no entry reports pass times.
NO_REPORT_INTERVAL_S = 0.5

#: Length of a span, over which choices are counted, in seconds: two or three
#: passes.
SPAN_S = 0.15

#: Upper limit in seconds by which a span with too few choices is extended. The
#: extension doubles each time, since each reading is charged for.
MAX_SPAN_S = 1.2

#: Seconds after a change of the map until the same ranks are read again, if
#: passes are still long: the estimate of demand is four times as accurate then.
REFINE_AFTER_S = 0.8


class Reading(Enum):
    """The counts to read now."""

    NOTHING = 'nothing'
    #: Counts at the start of a span.
    BEGIN = 'begin'
    #: Counts at the end of a span.
    END = 'end'
    #: Counts of one rank, to check whether demand has shifted since the last
    #: reading. Its value is the name in logs and metrics.
    SPOT_CHECK = 'glance'


class ReadingPlan:
    """Schedules the readings of one group."""

    def __init__(self, max_pause_s: float) -> None:
        """Create a plan without readings.

        ``max_pause_s`` is the longest pause allowed between two events of a
        stream that is on time; 0: unknown.
        """
        self._max_pause_s = max_pause_s
        self._end_at: float | None = None
        self._span_s = SPAN_S
        #: Whether the span contains a single demand: demand may have shifted
        #: before the span, but not within it.
        self.is_unmixed = True
        self._check_at: float = 0
        #: Time of the next spot check; None unless the last check kept the map.
        self._spot_check_at: float | None = None
        #: Time of the next full check while passes stay long.
        self._recheck_at: float = 0
        #: Pass time at the last check that kept the map.
        self._kept_pass_s: float = 0
        #: Shortest pass time since the last change of the map.
        self._shortest_s = math.inf

    @property
    def is_counting(self) -> bool:
        """Return whether a span is in progress."""
        return self._end_at is not None

    def next_reading(self, now: float, pass_s: float | None) -> Reading:
        """Return what to read; ``pass_s`` is the pass time in seconds."""
        if self._end_at is None:
            return self._next_check(now, pass_s)
        if not self.is_unmixed:
            return self._refine(now, self._end_at, pass_s)
        return Reading.END if now >= self._end_at else Reading.NOTHING

    def note_begun(self, now: float) -> None:
        """Record that a span has begun."""
        self._span_s = SPAN_S
        self._end_at = now + self._span_s
        self._spot_check_at = None
        self.is_unmixed = True

    def note_inconclusive(self, now: float) -> None:
        """Record that a span had too few choices, and extend it."""
        self._span_s = min(MAX_SPAN_S, 2 * self._span_s)
        self._end_at = now + self._span_s

    def note_failed(self, now: float) -> None:
        """Record that a reading failed."""
        self._end_at = None
        self._spot_check_at = None
        self._check_at = now + NO_REPORT_INTERVAL_S

    def note_kept(self, now: float, pass_s: float | None) -> None:
        """Record that no other map gains enough for its loads."""
        self._end_at = None
        self._kept_pass_s = pass_s or 0
        is_reported = pass_s is not None and self._max_pause_s > 0
        self._check_at = now + NO_REPORT_INTERVAL_S
        self._spot_check_at = (
            now + SPOT_CHECK_INTERVAL_S if is_reported else None
        )
        self._recheck_at = now + RECHECK_AFTER_S

    def note_changed(self, now: float) -> None:
        """Record that the map of the group has changed."""
        self._end_at = now + REFINE_AFTER_S
        self._spot_check_at = None
        self.is_unmixed = False
        self._kept_pass_s = 0
        self._shortest_s = math.inf

    def note_spot_check(self, now: float) -> None:
        """Record that a spot check found no shift of demand."""
        self._spot_check_at = now + SPOT_CHECK_INTERVAL_S

    def _refine(
        self, now: float, end_at: float, pass_s: float | None
    ) -> Reading:
        """Return what to read after a change of the map.

        Passes that lengthen indicate a shift within the span, which is then
        representative of neither demand: another span begins at once.
        """
        if self._is_on_time(pass_s):
            # Streams are on time, so a better map has no benefit.
            if now >= end_at:
                self._end_at = None
            return Reading.NOTHING
        if pass_s is not None:
            if pass_s > SHIFT_GROWTH * self._shortest_s:
                return Reading.BEGIN
            self._shortest_s = min(self._shortest_s, pass_s)
        return Reading.END if now >= end_at else Reading.NOTHING

    def _is_on_time(self, pass_s: float | None) -> bool:
        return (
            pass_s is not None
            and pass_s < ON_TIME_PAUSE_SHARE * self._max_pause_s
        )

    def _next_check(self, now: float, pass_s: float | None) -> Reading:
        if pass_s is None or not self._max_pause_s:
            return Reading.BEGIN if now >= self._check_at else Reading.NOTHING
        if self._is_on_time(pass_s):
            return Reading.NOTHING
        if self._spot_check_at is None:
            return Reading.BEGIN if now >= self._check_at else Reading.NOTHING
        if pass_s > SHIFT_GROWTH * self._kept_pass_s or now >= self._recheck_at:
            return Reading.BEGIN
        return (
            Reading.SPOT_CHECK
            if now >= self._spot_check_at
            else Reading.NOTHING
        )
