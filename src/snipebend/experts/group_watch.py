"""What a coordinator knows of one group: its ranks, map and load (pure)."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import numpy as np

from snipebend.experts.bounded_search import (
    Bounds,
    LayerMap,
    LayerSearch,
    layer_skew,
)
from snipebend.experts.estimate import ExpertReport, LoadEstimator
from snipebend.experts.model import GroupShape

if TYPE_CHECKING:
    from snipebend.experts.direct_switch import RankReport

#: Passes after which a count weighs half. Demand may turn over within
#: seconds, and a pass takes 50 to 100 ms; on a day with a turn every 3.4 s
#: shorter ones followed noise and longer ones yesterday's demand.
HALF_LIFE_PASSES = 8

#: Relative fall of a pass's length that a change of map must promise.
LEAST_SAVING = 0.04


class ExpertSizes(NamedTuple):
    """What a service's engines declare of their experts."""

    layers: int
    experts: int
    places: int
    spare: int
    #: Share of a token's work that its experts do.
    share: float


class RankCounts(NamedTuple):
    """How often one rank's requests chose each expert since it started."""

    epoch: int
    step: int
    counts: tuple[int, ...]


class Outlook(NamedTuple):
    """A better map, and how much shorter it makes a pass."""

    layers: tuple[LayerMap, ...]
    skew_before: float
    skew_after: float
    #: Relative to the length of a pass now.
    saving: float
    #: Experts that ranks would fetch, over all layers.
    loads: int


def first_map(sizes: ExpertSizes, ranks: int) -> tuple[LayerMap, ...]:
    """Return the map of a group that has just formed: experts in turn."""
    layer = tuple(
        tuple(range(rank, sizes.experts, ranks)) for rank in range(ranks)
    )
    return (layer,) * sizes.layers


class GroupWatch:
    """One epoch of a group."""

    def __init__(self, sizes: ExpertSizes, report: RankReport) -> None:
        """Start with the first report of an epoch."""
        self.group = report.group
        self.epoch = report.epoch
        self.size = report.size
        self.step = report.step
        self._sizes = sizes
        self._seen: dict[int, RankCounts] = {}
        shape = GroupShape(
            report.size, sizes.experts, sizes.layers, sizes.places, 1
        )
        self._estimator = LoadEstimator(shape, HALF_LIFE_PASSES)

    def note_counts(self, rank: int, counts: RankCounts) -> None:
        """Take in one rank's counts; only their growth tells of demand."""
        if counts.epoch != self.epoch:
            return
        before = self._seen.get(rank)
        self._seen[rank] = counts
        if before is None or counts.step <= before.step:
            return
        grown = np.array(counts.counts) - np.array(before.counts)
        if grown.min() < 0:
            return
        self._estimator.record(
            ExpertReport(
                rank,
                counts.step,
                np.arange(self._sizes.layers),
                grown.reshape(self._sizes.layers, self._sizes.experts),
            )
        )
        self.step = max(self.step, counts.step)

    def loads(self) -> list[list[float]]:
        """Return the experts' loads by layer; a rank's mean load is 1."""
        shares = self._estimator.estimate().shares * self.size
        found: list[list[float]] = shares.tolist()
        return found

    def look(self, layers: tuple[LayerMap, ...]) -> Outlook | None:
        """Return a map that is worth its loads; none: keep the present."""
        if self._estimator.estimate().step < 0:
            return None
        bounds = Bounds(self._sizes.places, self._sizes.spare)
        loads = self.loads()
        searches = [
            LayerSearch(layer, load, bounds)
            for layer, load in zip(layers, loads, strict=True)
        ]
        before = sum(search.skew for search in searches) / len(searches)
        better = tuple(search.run() for search in searches)
        after = sum(
            layer_skew(layer, load)
            for layer, load in zip(better, loads, strict=True)
        ) / len(searches)
        saving = self._saving(before, after)
        if saving < LEAST_SAVING:
            return None
        return Outlook(
            better, before, after, saving, _count_loads(layers, better)
        )

    def _saving(self, before: float, after: float) -> float:
        share = self._sizes.share
        length = (1 - share) + share * before
        return share * (before - after) / length


def _count_loads(
    before: tuple[LayerMap, ...], after: tuple[LayerMap, ...]
) -> int:
    return sum(
        len(set(new) - set(old))
        for old_layer, new_layer in zip(before, after, strict=True)
        for old, new in zip(old_layer, new_layer, strict=True)
    )
