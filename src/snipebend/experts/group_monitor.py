"""Demand and pass times of one group, and map proposals. Performs no I/O."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from snipebend.experts.change_value import DemandAge, required_saving
from snipebend.experts.demand import Demand
from snipebend.experts.hold_planner import MIN_PASS_S
from snipebend.experts.layer_state import LayerMap
from snipebend.experts.map_search import ChangeLimits, MapSearch
from snipebend.experts.rank_paces import RankPaces
from snipebend.experts.reading_plan import ON_TIME_PAUSE_SHARE
from snipebend.experts.uncertain_skew import expected_skew

if TYPE_CHECKING:
    from collections.abc import Mapping

    import numpy as np
    from numpy.typing import NDArray

    from snipebend.experts.direct_orders import RankCounts, RankReport
    from snipebend.experts.sizes import ExpertSizes

#: Share of the pass time that a map change must save, or it is deferred while
#: passes are short: during the second that it takes, it would block the
#: response to the next demand shift. Changes after a demand shift save 0.5 or
#: more.
URGENT_SAVING = 0.4

#: Limit in seconds for a rank's fetches in one map change, because passes take
#: longer meanwhile. On six simulated days with a demand shift every 3 s and
#: 0.11 s per expert, responses had 0.722 of their full value with three experts
#: per rank, 0.698 with four or more, and 0.677 with two.
MAX_FETCH_S = 0.35


class PassTiming(NamedTuple):
    """The last observed pass and the duration of a pass, in seconds."""

    step: int
    at: float
    #: None: not measured yet.
    pass_s: float | None = None


class MapProposal(NamedTuple):
    """A better map, and how much it shortens a pass."""

    layers: tuple[LayerMap, ...]
    skew_before: float = 0
    skew_after: float = 0
    #: Saved time relative to the current pass time.
    saving: float = 0
    #: Experts to fetch over all ranks and layers, and the maximum of one rank.
    fetches: int = 0
    max_fetches: int = 0
    #: Whether passes are too short for the reported paces.
    are_paces_denied: bool = False


class MapKept(NamedTuple):
    """The reason for keeping the current map."""

    reason: str
    skew: float = 0
    skew_after: float = 0
    saving: float = 0
    are_paces_denied: bool = False


class GroupMonitor:
    """Tracks the demand and the pass times of a group during one epoch."""

    def __init__(self, sizes: ExpertSizes, report: RankReport) -> None:
        """Create a monitor from the first report of an epoch."""
        self.group = report.group
        self.epoch = report.epoch
        self.size = report.size
        self.step = report.step
        #: Pass time in seconds reported by entries; None without reports.
        self.reported_pass_s: float | None = None
        self._pass_timing: PassTiming | None = None
        #: Duration of each rank's work relative to its usual duration.
        self.paces = RankPaces()
        self._sizes = sizes
        self.demand = Demand(sizes.layers, sizes.experts)
        #: Time at which the counts were last read.
        self._read_at: float = 0
        #: How long the demand has been known, if at all.
        self.age = DemandAge()

    @property
    def is_demand_unknown(self) -> bool:
        """Return whether the current demand is unknown."""
        return self.demand.shares is None

    def begin_interval(
        self, read: Mapping[int, RankCounts], now: float
    ) -> None:
        """Start a measurement interval on the ranks that were read."""
        self._note_steps(read, now)
        self._read_at = now
        self.demand.begin(read)

    def end_interval(
        self, read: Mapping[int, RankCounts], now: float, *, is_unmixed: bool
    ) -> None:
        """Record the selections of this interval and start the next one."""
        self._note_steps(read, now)
        self.demand.end(read, is_unmixed=is_unmixed)
        if (
            self.demand.is_conclusive
            and self.demand.is_restarted
            and not self.is_demand_unknown
        ):
            self.age.note_shift(self._read_at)
        self._read_at = now

    @property
    def pass_timing(self) -> PassTiming | None:
        """Return the last known pass and its duration, None if unmeasured."""
        pass_timing = self._pass_timing
        if pass_timing is None or self.reported_pass_s is None:
            return pass_timing
        return pass_timing._replace(
            pass_s=max(MIN_PASS_S, self.reported_pass_s)
        )

    def reset_pass_timing(self) -> None:
        """Discard the measured pass time after a map change."""
        self._pass_timing = None

    def _note_steps(self, read: Mapping[int, RankCounts], now: float) -> None:
        for counts in read.values():
            self._update_pass_timing(counts.step, now)

    def _update_pass_timing(self, step: int, now: float) -> None:
        last = self._pass_timing
        passes = step - last.step if last else 0
        if last and passes > 0:
            self._pass_timing = PassTiming(
                step, now, max(MIN_PASS_S, (now - last.at) / passes)
            )
        elif last is None:
            self._pass_timing = PassTiming(step, now)
        self.step = max(self.step, step)

    def propose_map(
        self, layers: tuple[LayerMap, ...]
    ) -> MapProposal | MapKept:
        """Return a map that justifies its fetches, or why there is none."""
        shares = self.demand.shares
        chosen = self.demand.choices
        if shares is None or chosen is None:
            return MapKept('turning')
        loads: list[list[float]] = (shares * self.size).tolist()
        are_denied = self._are_paces_denied(layers, chosen)
        slowness = () if are_denied else self.paces.reported
        better = self._search(layers, loads, slowness)
        fetched = _fetches_by_rank(layers, better)
        before = expected_skew(layers, chosen, slowness)
        after = expected_skew(better, chosen, slowness)
        saving = _relative_saving(self._sizes.work_share, before, after)
        if saving < self._least_saving(max(fetched)):
            return MapKept('saving', before, after, saving, are_denied)
        if self._is_deferrable(saving):
            return MapKept('calm', before, after, saving, are_denied)
        return MapProposal(
            better,
            before,
            after,
            saving,
            sum(fetched),
            max(fetched),
            are_denied,
        )

    def _are_paces_denied(
        self, layers: tuple[LayerMap, ...], chosen: NDArray[np.float64]
    ) -> bool:
        """Return whether passes are too short for the reported paces."""
        if not self.paces.has_slow_rank:
            return False
        work_share = self._sizes.work_share
        reported = expected_skew(layers, chosen, self.paces.reported)
        usual = expected_skew(layers, chosen)
        return self.paces.are_denied(
            _relative_length(work_share, reported)
            / _relative_length(work_share, usual)
        )

    def _least_saving(self, max_fetches: int) -> float:
        age_s = self.age.age_s(self._read_at)
        fetch_s = max_fetches * self._sizes.fetch_s
        return required_saving(age_s, self.age.previous_lifetime_s, fetch_s)

    def _is_deferrable(self, saving: float) -> bool:
        """Return whether streams are on time without this map change.

        A change is also deferred until passes have been measured since the
        last change.
        """
        if saving >= URGENT_SAVING:
            return False
        pass_s = self.reported_pass_s
        if pass_s is None and self._pass_timing is not None:
            pass_s = self._pass_timing.pass_s
        return (
            pass_s is None
            or pass_s < ON_TIME_PAUSE_SHARE * self._sizes.max_pause_s
        )

    def _search(
        self,
        layers: tuple[LayerMap, ...],
        loads: list[list[float]],
        slowness: tuple[float, ...],
    ) -> tuple[LayerMap, ...]:
        limits = ChangeLimits(
            self._sizes.slots,
            self._sizes.max_new,
            max_fetches=self._max_fetched(),
        )
        return MapSearch(layers, loads, limits, slowness).run()

    def _max_fetched(self) -> float:
        if not self._sizes.fetch_s:
            return math.inf
        return max(1, MAX_FETCH_S // self._sizes.fetch_s)


def _relative_saving(work_share: float, before: float, after: float) -> float:
    """Return the share of a pass that a fall of the skew saves."""
    return work_share * (before - after) / _relative_length(work_share, before)


def _relative_length(work_share: float, skew: float) -> float:
    """Return the duration of a pass relative to one without skew."""
    return (1 - work_share) + work_share * skew


def _fetches_by_rank(
    before: tuple[LayerMap, ...], after: tuple[LayerMap, ...]
) -> list[int]:
    """Return the number of experts that each rank fetches in all layers."""
    return [
        sum(
            len(set(new[rank]) - set(old[rank]))
            for old, new in zip(before, after, strict=True)
        )
        for rank in range(len(before[0]))
    ]
