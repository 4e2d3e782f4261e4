"""Whether to change a group's expert map, and how far.

One objective with the fleet file's two weights, in steps of group time:
``skew * (skew gained * steps it lasts) - cost * (steps that loading takes)``.
A change is made only if the objective gains, and only in layers where the
gain stands clear of the noise of the load estimate. Plans follow the current
load; while that proves not to last, the load of the long run competes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from snipebend.experts.model import ExpertMap, Move
from snipebend.experts.planner import Plan, Planner, PolicySettings, Prices

if TYPE_CHECKING:
    import numpy as np
    from numpy.typing import NDArray

    from snipebend.experts.cost import CostModel, StoreBudget
    from snipebend.experts.estimate import LoadEstimate
    from snipebend.experts.model import GroupShape
    from snipebend.fleet.model import Weights

#: Below this trust in the current load, the long run is planned for as well.
_LOW_TRUST = 0.35


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


class Policy:
    """Decides about the map of one incarnation of a group.

    Steps must only grow, so a new incarnation takes a new policy and a new
    estimator.
    """

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
        self._current = Planner(shape.ranks, self._settings)
        self._long_run = Planner(shape.ranks, self._settings)

    @property
    def trust(self) -> float:
        """The share of the gains predicted for the current load that came."""
        return self._current.trust

    def decide(
        self,
        estimate: LoadEstimate,
        expert_map: ExpertMap,
        facts: Facts,
        now: float,
    ) -> Decision:
        """Return the change to make now, or why there is none."""
        self._current.learn(estimate)
        self._long_run.learn(estimate)
        obstacle = self._find_obstacle(estimate, facts, now)
        if obstacle:
            return Keep(obstacle)
        prices = self._prices(facts, now)
        plan = self._best_plan(estimate, expert_map.placement, prices, facts)
        if plan.loads == 0:
            return Keep('no-significant-gain')
        if self._net_gain(plan, facts) <= 0:
            return Keep('will-not-pay-back')
        self._rebase(estimate, expert_map.placement != plan.placement)
        return self._change(plan, expert_map, facts, now)

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
        if self._weights.skew <= 0:
            return 'skew-has-no-weight'
        return '' if self._max_loads(facts, now) else 'store-budget'

    def _best_plan(
        self,
        estimate: LoadEstimate,
        placement: NDArray[np.int16],
        prices: Prices,
        facts: Facts,
    ) -> Plan:
        plan = self._current.plan(estimate, placement, prices)
        if self._current.trust >= _LOW_TRUST:
            return plan
        lasting = self._long_run.plan(estimate.long_run(), placement, prices)
        gain = self._net_gain(lasting, facts)
        return lasting if gain > self._net_gain(plan, facts) else plan

    def _rebase(
        self,
        estimate: LoadEstimate,
        moved: NDArray[np.bool_],
    ) -> None:
        layers: NDArray[np.bool_] = moved.reshape(len(moved), -1).max(axis=1)
        self._current.rebase(layers, estimate)
        self._long_run.rebase(layers, estimate.long_run())

    def _max_loads(self, facts: Facts, now: float) -> int:
        until = now + self._settings.load_window_s
        pace = self._costs.pace(facts.utilisation)
        allowance = pace * facts.store.allowance(now, until)
        return int(allowance / self._shape.expert_bytes)

    def _prices(self, facts: Facts, now: float) -> Prices:
        rate = facts.store.bytes_per_s
        steps = self._costs.load_steps(self._shape.expert_bytes, rate)
        relative = self._weights.cost / self._weights.skew
        return Prices(relative * steps, self._max_loads(facts, now))

    def _net_gain(self, plan: Plan, facts: Facts) -> float:
        """Return the objective's gain, in steps."""
        load_bytes = plan.loads * self._shape.expert_bytes
        price = self._costs.change_steps(load_bytes, facts.store.bytes_per_s)
        saved = plan.gain * plan.lifetime
        return self._weights.skew * saved - self._weights.cost * price

    def _change(
        self,
        plan: Plan,
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
