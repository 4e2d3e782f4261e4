"""A better map within what one change may bring to each rank (pure).

Engines bound how many experts of a layer may be new to a rank in one change.
The search starts from the map in force and takes single steps that lower the
load of the hottest rank: copy an expert to another rank, move it, or exchange
two. Replicas share their expert's load evenly.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from snipebend.experts.layer_state import LayerState, LayerStep

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from snipebend.experts.layer_state import LayerMap

#: The coldest ranks that a step may use as its target. Trials on random loads
#: of 16 ranks gained under 0.01 of skew from looking at all of them.
TARGETS = 6

#: Steps that one layer may take; each costs at most two loads.
MAX_STEPS = 60

#: What each further load on the same rank adds to a load's cost: a change waits
#: for the rank that fetches most. Over 25 turns of four layers and 16 ranks, 1
#: came to a skew of 1.24 with 3.6 loads on the busiest rank, 0.2 to 1.22 with
#: 4.3; a load takes a tenth of a second.
BUSY_COST = 1.0

#: Exponent of the objective, the sum of the ranks' loads to this power: high
#: enough that the hottest ranks count, low enough that a step on one of two
#: equally hot ranks is a gain.
_SHARPNESS = 8


class Bounds(NamedTuple):
    """What a map may hold, and what one change may bring."""

    #: Experts of one layer on a rank at most.
    places: int
    #: Experts of one layer new to a rank in one change at most.
    spare: int
    #: Least relative fall of the objective that a step must bring for each
    #: expert that it loads. Over 25 turns of 68% of a Zipf-like demand, 16
    #: ranks: 0.2 came to a skew of 1.20 with 9.6 loads a layer, 0.02 to 1.23
    #: with 12.5 and 0.5 to 1.40 with 4.9.
    least_gain: float = 0.2
    #: Experts that one rank fetches in one change at most, over all layers.
    most_fetched: float = math.inf


class LayerSearch:
    """One layer's search."""

    def __init__(
        self,
        before: LayerMap,
        loads: Sequence[float],
        bounds: Bounds,
        fetching: Sequence[int] = (),
        paces: Sequence[float] = (),
    ) -> None:
        """Start from the map in force; loads by expert, mean rank load 1.

        ``fetching`` counts what each rank fetches for other layers already,
        ``paces`` how many times as long each takes for its work.
        """
        self._before = [frozenset(held) for held in before]
        self._state = LayerState(before, loads, paces)
        self._bounds = bounds
        self._fetching = fetching or (0,) * len(before)

    @property
    def skew(self) -> float:
        """Return the load of the hottest rank; the mean is 1."""
        return self._state.skew

    def run(self) -> LayerMap:
        """Improve the map until no step is worth its loads."""
        for _ in range(MAX_STEPS):
            step = self._best_step()
            if step is None:
                break
            self._state.apply(step)
        return self._state.layer

    def _best_step(self) -> LayerStep | None:
        heat = self._state.heat
        hot = heat.index(max(heat))
        base = heat[hot] ** _SHARPNESS
        best: LayerStep | None = None
        best_gain = self._bounds.least_gain
        for step in self._steps(hot):
            gain = self._gain(step) / base / max(1, self._cost(step))
            if gain > best_gain:
                best, best_gain = step, gain
        return best

    def _steps(self, hot: int) -> Iterator[LayerStep]:
        """Yield the steps that take load off the hot rank."""
        heat = self._state.heat
        by_heat = sorted(range(len(heat)), key=heat.__getitem__)
        for target in by_heat[:TARGETS]:
            if target == hot:
                continue
            for expert in self._state.held[hot] - self._state.held[target]:
                if self._may_take(target, expert):
                    yield from self._steps_to(hot, expert, target)

    def _steps_to(
        self, hot: int, expert: int, target: int
    ) -> Iterator[LayerStep]:
        """Yield the ways to give one expert to one target."""
        state = self._state
        if len(state.held[target]) < self._bounds.places:
            yield LayerStep(hot, expert, target, None, 'copy')
            yield LayerStep(hot, expert, target, None, 'move')
        for dropped in state.held[target]:
            if len(state.holders[dropped]) > 1:
                yield LayerStep(hot, expert, target, dropped, 'copy')
                yield LayerStep(hot, expert, target, dropped, 'move')
            if dropped in state.held[hot]:
                continue
            if self._may_take(hot, dropped):
                yield LayerStep(hot, expert, target, dropped, 'swap')

    def _may_take(self, rank: int, expert: int) -> bool:
        if expert in self._before[rank]:
            return True
        new = len(self._state.held[rank] - self._before[rank])
        if self._fetching[rank] + new >= self._bounds.most_fetched:
            return False
        return new < self._bounds.spare

    def _cost(self, step: LayerStep) -> float:
        cost = self._load_cost(step.target, step.expert)
        if step.returned is not None:
            cost += self._load_cost(step.hot, step.returned)
        return cost

    def _load_cost(self, rank: int, expert: int) -> float:
        """Return 1 for a load, more on a rank that others wait for already."""
        if expert in self._before[rank]:
            return 0
        return 1 + BUSY_COST * self._fetching[rank]

    def _gain(self, step: LayerStep) -> float:
        heat = self._state.heat
        return sum(
            heat[rank] ** _SHARPNESS - max(0, heat[rank] + delta) ** _SHARPNESS
            for rank, delta in self._state.changes(step).items()
        )
