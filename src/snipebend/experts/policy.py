"""Whether to change a group's expert map, and how far.

One objective with the fleet file's two weights, in steps of group time:
``skew * (skew gained * steps it lasts) - cost * (steps that loading takes)``.
A change is made only if the objective gains, and only in layers where the
gain stands clear of the noise of the load estimate.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

import numpy as np

from snipebend.experts.drift import DriftGate
from snipebend.experts.model import ExpertMap, Move
from snipebend.experts.moves import choose_rounds, replay
from snipebend.experts.search import SearchLimits, search
from snipebend.experts.significance import significant_gains
from snipebend.experts.skew import relative_loads
from snipebend.experts.trials import TrialBook

if TYPE_CHECKING:
    from numpy.typing import NDArray

    from snipebend.experts.cost import CostModel, StoreBudget
    from snipebend.experts.estimate import LoadEstimate
    from snipebend.experts.model import GroupShape
    from snipebend.fleet.model import Weights


class PolicySettings(NamedTuple):
    """Constants of the decisions.

    ``horizon_steps`` is the longest that a gain is counted on to last.
    ``drift_limit`` is the excess, in standard deviations, that counts as
    drift of a layer's popularity. A layer's gain must exceed ``noise_limit``
    of its own standard deviations after drift, and ``steady_limit`` without:
    the search picks the best of thousands of changes, whose largest error of
    pure noise lies near four. ``load_window_s`` is the time within which a
    change must be loaded, ``stale_steps`` the age past which reports aren't
    acted on and ``rounds`` the most changes tried in a layer.
    """

    horizon_steps: int = 30000
    drift_limit: float = 8.0
    noise_limit: float = 2.0
    steady_limit: float = 8.0
    load_window_s: float = 30.0
    stale_steps: int = 12000
    rounds: int = 256


class Facts(NamedTuple):
    """What a decision must heed beside the load.

    ``step`` is the group's step, ``changed_at_step`` that of the last change,
    ``utilisation`` the share of capacity that serving uses now.
    """

    step: int
    changed_at_step: int
    utilisation: float
    store: StoreBudget


class Keep(NamedTuple):
    """Stay on the map in force."""

    reason: str


class Change(NamedTuple):
    """Load the moves at ``bytes_per_s``, then switch to the new map.

    ``gain`` is the step skew expected to be gained, ``store`` the weight
    store's budget with the loads booked.
    """

    expert_map: ExpertMap
    moves: tuple[Move, ...]
    gain: float
    load_bytes: int
    bytes_per_s: float
    store: StoreBudget
    reason: str


Decision: TypeAlias = Keep | Change


class _Plan(NamedTuple):
    placement: NDArray[np.int16]
    gain: float
    loads: int


class Policy:
    """Decides about the map of one group."""

    def __init__(
        self,
        shape: GroupShape,
        weights: Weights,
        costs: CostModel,
        *,
        hold_steps: int = 0,
        settings: PolicySettings | None = None,
    ) -> None:
        """Start without experience of how long gains last."""
        self._shape = shape
        self._weights = weights
        self._costs = costs
        self._hold_steps = hold_steps
        self._settings = settings or PolicySettings()
        self._trials = TrialBook(self._settings.horizon_steps)
        self._drift = DriftGate(self._settings.drift_limit)

    def decide(
        self,
        estimate: LoadEstimate,
        expert_map: ExpertMap,
        facts: Facts,
        now: float,
    ) -> Decision:
        """Return the change to make now, or why there is none."""
        self._score_trials(estimate)
        obstacle = self._find_obstacle(estimate, facts, now)
        if obstacle:
            return Keep(obstacle)
        return self._weigh(estimate, expert_map, facts, now)

    def _score_trials(self, estimate: LoadEstimate) -> None:
        recent = relative_loads(estimate.recent, self._shape.ranks)
        self._trials.score(recent, estimate.step)

    def _find_obstacle(
        self,
        estimate: LoadEstimate,
        facts: Facts,
        now: float,
    ) -> str:
        if estimate.step < 0:
            return 'no-reports'
        if facts.step - estimate.step > self._settings.stale_steps:
            return 'stale-reports'
        if facts.step - facts.changed_at_step < self._hold_steps:
            return 'hold-steps'
        if self._costs.pace(facts.utilisation) == 0:
            return 'serving-needs-capacity'
        return '' if self._max_loads(facts, now) else 'store-budget'

    def _weigh(
        self,
        estimate: LoadEstimate,
        expert_map: ExpertMap,
        facts: Facts,
        now: float,
    ) -> Decision:
        max_loads = self._max_loads(facts, now)
        plan = self._plan(estimate, expert_map, facts, max_loads)
        if plan.loads == 0:
            return Keep('no-significant-gain')
        self._trials.open(
            expert_map.placement,
            plan.placement,
            plan.gain,
            estimate.step,
        )
        if self._net_gain(plan, facts) <= 0:
            return Keep('will-not-pay-back')
        changed = (plan.placement != expert_map.placement).any(axis=(1, 2))
        self._drift.rebase(changed, estimate)
        return self._change(plan, expert_map, facts, now)

    def _plan(
        self,
        estimate: LoadEstimate,
        expert_map: ExpertMap,
        facts: Facts,
        max_loads: int,
    ) -> _Plan:
        """Search, keep what gains most per byte and drop what may be noise."""
        before = expert_map.placement
        loads = relative_loads(estimate.shares, self._shape.ranks)
        min_gain = self._min_gain(facts)
        limits = SearchLimits(min_gain, self._settings.rounds)
        trail = search(before, loads, limits)
        rounds = choose_rounds(trail, min_gain, max_loads)
        gains = significant_gains(
            before,
            replay(before, trail, rounds),
            estimate,
            self._limits(estimate),
        )
        placement = replay(before, trail, np.where(gains > 0, rounds, 0))
        changed = int((placement != before).sum())
        return _Plan(placement, float(gains.mean()), changed)

    def _limits(self, estimate: LoadEstimate) -> NDArray[np.float64]:
        """Return how far each layer's gain must stand clear of noise."""
        return np.where(
            self._drift.drifted(estimate),
            self._settings.noise_limit,
            self._settings.steady_limit,
        )

    def _max_loads(self, facts: Facts, now: float) -> int:
        until = now + self._settings.load_window_s
        pace = self._costs.pace(facts.utilisation)
        allowance = pace * facts.store.allowance(now, until)
        return int(allowance / self._shape.expert_bytes)

    def _lifetime(self) -> float:
        """Steps that a predicted gain is expected to last."""
        return self._settings.horizon_steps * self._trials.trust

    def _min_gain(self, facts: Facts) -> float:
        """Least gain in one layer's skew that pays for loading one expert."""
        rate = facts.store.bytes_per_s
        price = self._costs.load_steps(self._shape.expert_bytes, rate)
        worth = self._weights.skew * self._lifetime() / self._shape.layers
        if worth <= 0:
            return float(self._shape.ranks)
        return self._weights.cost * price / worth

    def _net_gain(self, plan: _Plan, facts: Facts) -> float:
        """Return the objective's gain, in steps."""
        load_bytes = plan.loads * self._shape.expert_bytes
        price = self._costs.change_steps(load_bytes, facts.store.bytes_per_s)
        saved = plan.gain * self._lifetime()
        return self._weights.skew * saved - self._weights.cost * price

    def _change(
        self,
        plan: _Plan,
        expert_map: ExpertMap,
        facts: Facts,
        now: float,
    ) -> Change:
        target = ExpertMap(expert_map.version + 1, plan.placement)
        load_bytes = plan.loads * self._shape.expert_bytes
        pace = self._costs.pace(facts.utilisation)
        return Change(
            target,
            expert_map.moves_to(target),
            plan.gain,
            load_bytes,
            pace * facts.store.bytes_per_s,
            facts.store.reserve(load_bytes, now, pace),
            'pays-back',
        )
