"""Search for a better map within the limits of one change; no I/O.

Engines limit how many experts of a layer may be new to a rank in one change,
and a change takes as long as the rank with the most fetches. The search starts
from the map in force and takes single steps, each in the layer with the largest
gain for each expert that is fetched: copy an expert from the hottest rank to
another one, move it, or swap two experts. Replicas of an expert share its load
evenly.

When layers were improved one after the other, the first layers used up all
fetches of the ranks: with 32 ranks, twelve layers and three fetches for each
rank, one change reached a skew of 1.63; choosing steps by gain over all layers
reaches 1.32.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

import numpy as np

from snipebend.experts.layer_steps import LayerSteps

if TYPE_CHECKING:
    from collections.abc import Sequence

    from snipebend.experts.layer_state import LayerMap
    from snipebend.experts.step_options import CandidateStep

#: Steps per layer to which the search is limited on average; the number of
#: ranks if that is larger. Each step costs at most two loads. Groups of 192
#: ranks take some 80 steps: limited to 60, one change reached a skew of 1.27 to
#: 1.38 with 600 loads, instead of 1.21 to 1.22 with 734 to 965. The limit only
#: bounds the time of the search.
MIN_STEP_LIMIT = 60


class ChangeLimits(NamedTuple):
    """Limits of a map and of one change."""

    #: Largest number of experts of one layer on a rank.
    slots: int
    #: Largest number of experts of one layer that are new to a rank in one
    #: change.
    max_new: int
    #: Smallest gain of a step for each expert that it loads: the reduction of a
    #: layer's norm, scaled as if only one rank were that hot; the mean load of
    #: a rank is 1. With shifts of half of the demand in groups of 8, 16, 32 and
    #: 72 ranks, 0.05 reached skews of 1.15, 1.13, 1.32 and 1.35 after one
    #: change and 1.09, 1.12, 1.17 and 1.19 after two, with 31 to 332 loads per
    #: shift; 0.03 reached skews lower by up to 0.03 with 34 to 338 loads, and
    #: 0.06 skews higher by up to 0.02 with 27 to 322.
    min_gain: float = 0.05
    #: Largest number of experts that one rank fetches in one change, over all
    #: layers.
    max_fetches: float = math.inf


class MapSearch:
    """Search for one change of a map."""

    def __init__(
        self,
        before: Sequence[LayerMap],
        loads: Sequence[Sequence[float]],
        limits: ChangeLimits,
        slowness: Sequence[float] = (),
    ) -> None:
        """Create a search from the map in force; loads are by layer and expert.

        The mean load of a rank is 1. ``slowness`` gives how many times as long
        each rank takes for its work.
        """
        ranks = len(before[0])
        self._limits = limits
        #: Number of experts that each rank fetches with the steps so far.
        self._fetching = np.zeros(ranks, dtype=np.intp)
        self._layers = [
            LayerSteps(layer, load, slowness or (1.0,) * ranks, limits.slots)
            for layer, load in zip(before, loads, strict=True)
        ]

    @property
    def skews(self) -> tuple[float, ...]:
        """Return the heat of each layer's hottest rank; the mean load is 1."""
        return tuple(layer.skew for layer in self._layers)

    def run(self) -> tuple[LayerMap, ...]:
        """Improve the map until no step gains enough for its loads."""
        candidates = [self._best_step(layer) for layer in self._layers]
        max_steps = max(MIN_STEP_LIMIT, len(self._fetching)) * len(self._layers)
        for _ in range(max_steps):
            gains = [
                -math.inf if one is None else one.gain for one in candidates
            ]
            best_index = gains.index(max(gains))
            step = candidates[best_index]
            if step is None:
                break
            layer = self._layers[best_index]
            if self._can_still_fetch(layer, step):
                self._apply(layer, step)
            candidates[best_index] = self._best_step(layer)
        return tuple(layer.layer for layer in self._layers)

    def _best_step(self, layer: LayerSteps) -> CandidateStep | None:
        return layer.best_step(
            self._fetching < self._limits.max_fetches,
            self._limits.max_new,
            self._limits.min_gain,
        )

    def _can_still_fetch(self, layer: LayerSteps, step: CandidateStep) -> bool:
        """Return whether the ranks may still fetch after other steps."""
        return all(
            self._fetching[rank] < self._limits.max_fetches
            for rank in layer.fetching_ranks(step)
        )

    def _apply(self, layer: LayerSteps, step: CandidateStep) -> None:
        changed_ranks = [step.hot, step.target]
        self._fetching[changed_ranks] -= layer.fetched[changed_ranks]
        layer.apply(step)
        self._fetching[changed_ranks] += layer.fetched[changed_ranks]
