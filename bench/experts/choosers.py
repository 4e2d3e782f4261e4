"""The policy and its baselines, called once per interval."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

import numpy as np

from snipebend.experts.cost import CostModel, StoreBudget
from snipebend.experts.model import ExpertMap
from snipebend.experts.moves import align_slots, replay
from snipebend.experts.placement import place_from_scratch
from snipebend.experts.policy import Change, DecisionContext, Policy
from snipebend.experts.search import SearchLimits, search
from snipebend.experts.skew import relative_loads

if TYPE_CHECKING:
    from numpy.typing import NDArray

    from snipebend.experts.estimate import LoadEstimate
    from snipebend.experts.model import GroupShape
    from snipebend.experts.planner import PolicySettings
    from snipebend.fleet.model import Weights

SEARCH_ROUNDS = 256
#: Step of a change so long ago that it delays no other change.
NEVER_CHANGED = -1_000_000


class IntervalEnd(NamedTuple):
    """End of an interval: estimated load, and true load of the next one."""

    step: int
    now: float
    estimate: LoadEstimate
    following: NDArray[np.float64]


class MapChooser(Protocol):
    """Chooses the map for the next interval."""

    def choose_map(
        self, interval: IntervalEnd, current: ExpertMap
    ) -> ExpertMap:
        """Return the map to use next."""


def place_and_search(
    shape: GroupShape,
    shares: NDArray[np.float64],
    version: int,
) -> ExpertMap:
    """Return the best known map for the shares, regardless of its cost."""
    loads = relative_loads(shares, shape.ranks)
    scratch = place_from_scratch(shape, loads, version)
    trace = search(scratch.placement, loads, SearchLimits(0, SEARCH_ROUNDS))
    last = np.full(shape.layers, len(trace.slots))
    return ExpertMap(version, replay(scratch.placement, trace, last))


class StaticChooser:
    """Baseline that never changes the map."""

    def choose_map(
        self, interval: IntervalEnd, current: ExpertMap
    ) -> ExpertMap:
        """Keep the map."""
        return current


class OracleChooser:
    """Baseline that knows the next interval and moves at no cost."""

    def __init__(self, shape: GroupShape) -> None:
        self._shape = shape

    def choose_map(
        self, interval: IntervalEnd, current: ExpertMap
    ) -> ExpertMap:
        """Place for the true shares of the next interval."""
        target = place_and_search(
            self._shape, interval.following, current.version + 1
        )
        aligned = align_slots(current.placement, target.placement)
        return ExpertMap(target.version, aligned)


class ScratchChooser:
    """Baseline that places from scratch by the estimate every few intervals."""

    def __init__(self, shape: GroupShape, every: int = 1) -> None:
        self._shape = shape
        self._every = every
        self._interval = 0

    def choose_map(
        self, interval: IntervalEnd, current: ExpertMap
    ) -> ExpertMap:
        """Place from scratch for the estimate, if it is time."""
        self._interval += 1
        if self._interval % self._every:
            return current
        loads = relative_loads(interval.estimate.shares, self._shape.ranks)
        target = place_from_scratch(self._shape, loads, current.version + 1)
        aligned = align_slots(current.placement, target.placement)
        return ExpertMap(target.version, aligned)


class PolicyChooser:
    """The policy with the weights of one deployment."""

    def __init__(
        self,
        shape: GroupShape,
        weights: Weights,
        store_bytes_per_s: float,
        *,
        hold_steps: int = 0,
        settings: PolicySettings | None = None,
        utilisation: float = 0.6,
    ) -> None:
        self._policy = Policy(
            shape,
            weights,
            CostModel(),
            hold_steps=hold_steps,
            settings=settings,
        )
        self._store = StoreBudget(store_bytes_per_s)
        self._changed_at = NEVER_CHANGED
        self._utilisation = utilisation
        self.reasons: list[str] = []

    def choose_map(
        self, interval: IntervalEnd, current: ExpertMap
    ) -> ExpertMap:
        """Return the map that the policy decides on."""
        context = DecisionContext(
            interval.step,
            self._changed_at,
            self._utilisation,
            self._store,
        )
        decision = self._policy.decide(
            interval.estimate,
            current,
            context,
            interval.now,
        )
        self.reasons.append(decision.reason)
        if not isinstance(decision, Change):
            return current
        self._store = decision.store
        self._changed_at = interval.step
        return decision.expert_map
