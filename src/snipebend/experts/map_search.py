"""A better map within what one change may bring to each rank (pure).

Engines bound how many experts of a layer may be new to a rank in one change,
and a change takes as long as the rank needs that fetches most. The search
starts from the map in force and takes single steps, each in the layer in which
it gains most for each expert that is fetched: copy an expert from the hottest
rank to another one, move it, or exchange two. Replicas of an expert share its
load evenly.

Layer by layer, each to its end, the first layers took up all that the ranks may
fetch: with 32 ranks of twelve layers, three experts a rank and change, one
change came to a skew of 1.63; in the order of their gain it comes to 1.32.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

import numpy as np

from snipebend.experts.layer_steps import LayerSteps

if TYPE_CHECKING:
    from collections.abc import Sequence

    from snipebend.experts.layer_state import LayerMap
    from snipebend.experts.layer_steps import FoundStep

#: Steps that one layer may take on the average, or one a rank where that is
#: more; each costs at most two loads. Groups of 192 ranks take some 80: stopped
#: at 60, one change came to a skew of 1.27 to 1.38 with 600 loads, in place of
#: 1.21 to 1.22 with 734 to 965. It bounds the search's time only.
LEAST_STEPS = 60


class Bounds(NamedTuple):
    """What a map may hold, and what one change may bring."""

    #: Experts of one layer on a rank at most.
    places: int
    #: Experts of one layer new to a rank in one change at most.
    spare: int
    #: Least gain of a step for each expert that it loads: by how much it
    #: lowers a layer's heat, if only one rank is that hot; the mean load of a
    #: rank is 1. Over turns of half of a demand, groups of 8, 16, 32 and 72
    #: ranks, 0.05 came to skews of 1.15, 1.13, 1.32 and 1.35 after one change
    #: and 1.09, 1.12, 1.17 and 1.19 after two, with 31 to 332 loads a turn;
    #: 0.03 to 0.03 less with 34 to 338, 0.06 to 0.02 more with 27 to 322.
    least_gain: float = 0.05
    #: Experts that one rank fetches in one change at most, over all layers.
    most_fetched: float = math.inf


class MapSearch:
    """The search for one change of a map."""

    def __init__(
        self,
        before: Sequence[LayerMap],
        loads: Sequence[Sequence[float]],
        bounds: Bounds,
        paces: Sequence[float] = (),
    ) -> None:
        """Start from the map in force; loads by layer and expert.

        The mean load of a rank is 1. ``paces`` tells how many times as long
        each rank takes for its work.
        """
        ranks = len(before[0])
        self._bounds = bounds
        #: What each rank fetches so far.
        self._fetching = np.zeros(ranks, dtype=np.intp)
        self._layers = [
            LayerSteps(layer, load, paces or (1.0,) * ranks, bounds.places)
            for layer, load in zip(before, loads, strict=True)
        ]

    @property
    def skews(self) -> tuple[float, ...]:
        """Return the load of each layer's hottest rank; the mean is 1."""
        return tuple(layer.skew for layer in self._layers)

    def run(self) -> tuple[LayerMap, ...]:
        """Improve the map until no step is worth its loads."""
        found = [self._best(layer) for layer in self._layers]
        most_steps = max(LEAST_STEPS, len(self._fetching)) * len(self._layers)
        for _ in range(most_steps):
            gains = [-math.inf if one is None else one.gain for one in found]
            at = gains.index(max(gains))
            step = found[at]
            if step is None:
                break
            layer = self._layers[at]
            if self._still_fits(layer, step):
                self._take(layer, step)
            found[at] = self._best(layer)
        return tuple(layer.layer for layer in self._layers)

    def _best(self, layer: LayerSteps) -> FoundStep | None:
        return layer.best_step(
            self._fetching < self._bounds.most_fetched,
            self._bounds.spare,
            self._bounds.least_gain,
        )

    def _still_fits(self, layer: LayerSteps, step: FoundStep) -> bool:
        """Tell whether other layers left its ranks room to fetch."""
        return all(
            self._fetching[rank] < self._bounds.most_fetched
            for rank in layer.fetching_ranks(step)
        )

    def _take(self, layer: LayerSteps, step: FoundStep) -> None:
        ends = [step.hot, step.target]
        self._fetching[ends] -= layer.fetched[ends]
        layer.apply(step)
        self._fetching[ends] += layer.fetched[ends]
