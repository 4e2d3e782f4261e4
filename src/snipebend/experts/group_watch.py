"""What a coordinator knows of one group: its ranks, map and load (pure)."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from snipebend.experts.change_value import DemandAge, required_saving
from snipebend.experts.demand import Demand
from snipebend.experts.hold_planner import MIN_PASS_S
from snipebend.experts.layer_state import LayerMap
from snipebend.experts.map_search import ChangeLimits, MapSearch
from snipebend.experts.reading_plan import ON_TIME_SHARE
from snipebend.experts.uncertain_skew import expected_skew

if TYPE_CHECKING:
    from collections.abc import Mapping

    from snipebend.experts.direct_orders import RankCounts, RankReport
    from snipebend.experts.sizes import ExpertSizes

#: A change that saves less is left while passes are short: for its second it
#: would bar the answer to the next turn. Turns save 0.5 and more.
URGENT_SAVING = 0.4

#: Seconds that a rank may fetch in one change: passes are long meanwhile. On
#: six days of turns every 3 s, at 0.11 s an expert, three experts a rank came
#: to a worth of 0.722, four and more to 0.698, two to 0.677.
MOST_FETCH_S = 0.35


class Pace(NamedTuple):
    """How fast a group goes from pass to pass; times in seconds."""

    step: int
    at: float
    #: None: not measured yet.
    pass_s: float | None = None


class Outlook(NamedTuple):
    """A better map, and how much shorter it makes a pass."""

    layers: tuple[LayerMap, ...]
    skew_before: float = 0
    skew_after: float = 0
    #: Relative to the length of a pass now.
    saving: float = 0
    #: Experts that ranks would fetch, over all layers, and the most of one.
    loads: int = 0
    most_loads: int = 0


class Kept(NamedTuple):
    """Why a look left the map as it is."""

    reason: str
    skew: float = 0
    skew_after: float = 0
    saving: float = 0


class GroupWatch:
    """One epoch of a group."""

    def __init__(self, sizes: ExpertSizes, report: RankReport) -> None:
        """Start with the first report of an epoch."""
        self.group = report.group
        self.epoch = report.epoch
        self.size = report.size
        self.step = report.step
        #: Seconds of a pass by what entries tell; none: they don't.
        self.told_pass_s: float | None = None
        self._pace: Pace | None = None
        #: How many times as long each rank takes for its work.
        self.slowness: tuple[float, ...] = ()
        self._sizes = sizes
        self.demand = Demand(sizes.layers, sizes.experts)
        #: When counts were read last.
        self._read_at: float = 0
        #: Since when the demand is known, if it ever was.
        self.age = DemandAge()

    @property
    def turning(self) -> bool:
        """Tell whether the demand isn't known."""
        return self.demand.shares is None

    def begin_span(self, read: Mapping[int, RankCounts], now: float) -> None:
        """Count choices from here on, on the ranks that were read."""
        self._note_steps(read, now)
        self._read_at = now
        self.demand.begin(read)

    def end_span(
        self, read: Mapping[int, RankCounts], now: float, *, is_unmixed: bool
    ) -> None:
        """Take over what was chosen since the span began; begin another."""
        self._note_steps(read, now)
        self.demand.end(read, is_unmixed=is_unmixed)
        if (
            self.demand.is_conclusive
            and self.demand.is_restarted
            and not self.turning
        ):
            self.age.note_shift(self._read_at)
        self._read_at = now

    @property
    def pace(self) -> Pace | None:
        """Return the last pass known and its length; none: not measured."""
        pace = self._pace
        if pace is None or self.told_pass_s is None:
            return pace
        return pace._replace(pass_s=max(MIN_PASS_S, self.told_pass_s))

    def renew_pace(self) -> None:
        """Measure passes anew: the map in force has changed."""
        self._pace = None

    def _note_steps(self, read: Mapping[int, RankCounts], now: float) -> None:
        for counts in read.values():
            self._note_pace(counts.step, now)

    def _note_pace(self, step: int, now: float) -> None:
        last = self._pace
        passes = step - last.step if last else 0
        if last and passes > 0:
            self._pace = Pace(
                step, now, max(MIN_PASS_S, (now - last.at) / passes)
            )
        elif last is None:
            self._pace = Pace(step, now)
        self.step = max(self.step, step)

    def look(self, layers: tuple[LayerMap, ...]) -> Outlook | Kept:
        """Return a map that is worth its loads, or why there is none."""
        shares = self.demand.shares
        chosen = self.demand.choices
        if shares is None or chosen is None:
            return Kept('turning')
        loads: list[list[float]] = (shares * self.size).tolist()
        better = self._search(layers, loads)
        fetched = _loads_by_rank(layers, better)
        before = expected_skew(layers, chosen, self.slowness)
        after = expected_skew(better, chosen, self.slowness)
        saving = self._saving(before, after)
        if saving < self._least_saving(max(fetched)):
            return Kept('saving', before, after, saving)
        if self._is_calm(saving):
            return Kept('calm', before, after, saving)
        return Outlook(
            better, before, after, saving, sum(fetched), max(fetched)
        )

    def _least_saving(self, most_loads: int) -> float:
        age_s = self.age.age_s(self._read_at)
        fetch_s = most_loads * self._sizes.fetch_s
        return required_saving(age_s, self.age.previous_lifetime_s, fetch_s)

    def _is_calm(self, saving: float) -> bool:
        """Tell whether streams are on time without this change, too.

        Passes that weren't measured since the last change are waited for.
        """
        if saving >= URGENT_SAVING:
            return False
        pass_s = self.told_pass_s
        if pass_s is None and self._pace is not None:
            pass_s = self._pace.pass_s
        return (
            pass_s is None or pass_s < ON_TIME_SHARE * self._sizes.max_pause_s
        )

    def _search(
        self, layers: tuple[LayerMap, ...], loads: list[list[float]]
    ) -> tuple[LayerMap, ...]:
        limits = ChangeLimits(
            self._sizes.slots,
            self._sizes.max_new,
            max_fetches=self._max_fetches(),
        )
        return MapSearch(layers, loads, limits, self.slowness).run()

    def _max_fetches(self) -> float:
        if not self._sizes.fetch_s:
            return math.inf
        return max(1, MOST_FETCH_S // self._sizes.fetch_s)

    def _saving(self, before: float, after: float) -> float:
        work_share = self._sizes.work_share
        length = (1 - work_share) + work_share * before
        return work_share * (before - after) / length


def _loads_by_rank(
    before: tuple[LayerMap, ...], after: tuple[LayerMap, ...]
) -> list[int]:
    """Return how many experts each rank fetches, over all layers."""
    return [
        sum(
            len(set(new[rank]) - set(old[rank]))
            for old, new in zip(before, after, strict=True)
        )
        for rank in range(len(before[0]))
    ]
