"""Paces of a group's ranks: when they require a new map; no I/O.

A rank's report states how many times as long it takes for its work. A slow rank
delays each pass at once, while the demand that is known stays valid. So a
changed pace is planned for without counting the demand again, provided that the
passes agree with it.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from snipebend.experts.reading_plan import SHIFT_GROWTH

if TYPE_CHECKING:
    from collections.abc import Sequence

#: Factor between two paces of a rank from which they count as different.
PACE_CHANGE = 1.5

#: Seconds between two plans for changed paces.
PLAN_INTERVAL_S = 0.5

#: Seconds for which a pass time under usual paces is remembered. Reports are up
#: to 1.2 s older than the passes that a slow rank has delayed.
USUAL_PASS_WINDOW_S = 3.0

#: Share of the expected growth of the pass time below which the passes deny the
#: reported paces. A part of a pass doesn't grow with the experts' work, and
#: load and demand change the pass time, too.
DENIED_GROWTH_SHARE = 0.1

#: Factor of the pass time from which an expected growth can be told from
#: changes of load. A slow rank that was relieved causes less.
MIN_EXPECTED_GROWTH = 1.25


class _PassSample(NamedTuple):
    at: float
    pass_s: float


class RankPaces:
    """The reported paces of a group's ranks, compared with its passes.

    Times are monotonic seconds.
    """

    def __init__(self) -> None:
        """Create the state of a group whose ranks have their usual pace."""
        #: Paces by rank in the latest reports; empty: not reported.
        self.reported: tuple[float, ...] = ()
        #: Paces that the last plan was based on.
        self._planned: tuple[float, ...] = ()
        self._planned_at = -math.inf
        self._usual: deque[_PassSample] = deque()
        self._pass_s: float | None = None

    @property
    def slow_ranks(self) -> int:
        """Return the number of ranks that report that they are slow."""
        return sum(pace >= PACE_CHANGE for pace in self.reported)

    @property
    def has_slow_rank(self) -> bool:
        """Return whether a rank reports that it is slow."""
        return self.slow_ranks > 0

    def update(
        self, reported: tuple[float, ...], pass_s: float | None, now: float
    ) -> None:
        """Record reported paces and the pass time that entries measure."""
        self.reported = reported
        self._pass_s = pass_s
        if pass_s is not None and not self.has_slow_rank:
            self._usual.append(_PassSample(now, pass_s))
            while self._usual[0].at < now - USUAL_PASS_WINDOW_S:
                self._usual.popleft()

    @property
    def are_reports_outdated(self) -> bool:
        """Return whether passes have grown more than the reports explain."""
        if self._pass_s is None or not self._usual or self.has_slow_rank:
            return False
        return self._pass_s > SHIFT_GROWTH * self._shortest_usual_s

    def is_plan_due(self, now: float) -> bool:
        """Return whether the paces differ from those last planned for."""
        if now < self._planned_at + PLAN_INTERVAL_S:
            return False
        return _differ(self.reported, self._planned)

    def note_attempt(self, now: float) -> None:
        """Record that a plan was attempted; the next one keeps a distance."""
        self._planned_at = now

    def note_planned(self, now: float) -> None:
        """Record that a map was planned for the reported paces."""
        self._planned = self.reported
        self.note_attempt(now)

    def are_denied(self, expected_growth: float) -> bool:
        """Return whether passes are too short for the reported paces.

        ``expected_growth`` is the factor by which the reported paces lengthen a
        pass under the map in force.
        """
        if expected_growth < MIN_EXPECTED_GROWTH:
            return False
        if self._pass_s is None or not self._usual:
            return False
        growth = self._pass_s / self._shortest_usual_s
        return growth - 1 < DENIED_GROWTH_SHARE * (expected_growth - 1)

    @property
    def _shortest_usual_s(self) -> float:
        return min(one.pass_s for one in self._usual)


def _differ(reported: Sequence[float], planned: Sequence[float]) -> bool:
    before = planned or (1.0,) * len(reported)
    if len(before) != len(reported):
        return True
    return any(
        max(new, old) >= PACE_CHANGE * min(new, old)
        for new, old in zip(reported, before, strict=True)
    )
