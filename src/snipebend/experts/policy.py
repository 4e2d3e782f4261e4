"""Decision whether and how far to change a group's expert map.

The net gain uses the two weights of the fleet file. In steps of the group, it
is::

    weights.skew * (reduction of the skew * steps it lasts)
    - weights.cost * (steps that loading and the switch itself take)

A change is made only if its net gain is positive, and only in layers where the
reduction of the skew is significant given the noise of the load estimate. Plans
follow the current load; while gains for the current load turn out not to last,
a plan for the long-run load is made as well, and the better one is used.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from snipebend.experts.model import ExpertMap, Move
from snipebend.experts.planner import Plan, PlanLimits, Planner, PolicySettings

if TYPE_CHECKING:
    import numpy as np
    from numpy.typing import NDArray

    from snipebend.experts.cost import CostModel, StoreBudget
    from snipebend.experts.estimate import LoadEstimate
    from snipebend.experts.model import GroupShape
    from snipebend.fleet.model import Weights

#: Trust in the current load below which a plan for the long-run load is made as
#: well.
_LOW_TRUST = 0.35


class DecisionContext(NamedTuple):
    """Inputs of a decision in addition to the load estimate.

    ``step`` is the group's step, ``changed_at_step`` that of the last change,
    ``utilisation`` the share of capacity that serving uses now.
    """

    step: int
    changed_at_step: int
    utilisation: float
    store: StoreBudget


class Keep(NamedTuple):
    """Keep the map in force."""

    reason: str


class Change(NamedTuple):
    """Load the moves at ``bytes_per_s``, then switch to the new map.

    ``gain`` is the expected gain in step skew, ``store`` the budget of the
    weight store with the loads reserved.
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

    Steps must not decrease, so a new incarnation needs a new policy and a new
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
        """Create a policy for one incarnation of a group.

        ``hold_steps`` is the minimum number of steps between two changes.
        """
        self._shape = shape
        self._weights = weights
        self._costs = costs
        self._hold_steps = hold_steps
        self._settings = settings or PolicySettings()
        self._current = Planner(shape.ranks, self._settings)
        self._long_run = Planner(shape.ranks, self._settings)

    @property
    def trust(self) -> float:
        """Return the realised share of gains predicted for the current load."""
        return self._current.trust

    def decide(
        self,
        estimate: LoadEstimate,
        expert_map: ExpertMap,
        context: DecisionContext,
        now: float,
    ) -> Decision:
        """Return the change to make now, or the reason to keep the map."""
        self._current.learn(estimate)
        self._long_run.learn(estimate)
        keep_reason = self._find_keep_reason(estimate, context, now)
        if keep_reason:
            return Keep(keep_reason)
        limits = self._plan_limits(context, now)
        plan = self._best_plan(estimate, expert_map.placement, limits, context)
        if plan.loads == 0:
            return Keep('no-significant-gain')
        if self._net_gain(plan, context) <= 0:
            return Keep('will-not-pay-back')
        self._rebase(estimate, expert_map.placement != plan.placement)
        return self._change(plan, expert_map, context, now)

    def _find_keep_reason(
        self,
        estimate: LoadEstimate,
        context: DecisionContext,
        now: float,
    ) -> str:
        if estimate.step < 0:
            return 'no-reports'
        if context.step - estimate.step > self._settings.stale_steps:
            return 'stale-reports'
        if context.step - context.changed_at_step < self._hold_steps:
            return 'hold-steps'
        if self._costs.rate_share(context.utilisation) == 0:
            return 'serving-needs-capacity'
        if self._weights.skew <= 0:
            return 'skew-has-no-weight'
        return '' if self._max_loads(context, now) else 'store-budget'

    def _best_plan(
        self,
        estimate: LoadEstimate,
        placement: NDArray[np.int16],
        limits: PlanLimits,
        context: DecisionContext,
    ) -> Plan:
        plan = self._current.plan(estimate, placement, limits)
        if self._current.trust >= _LOW_TRUST:
            return plan
        long_run_plan = self._long_run.plan(
            estimate.long_run(), placement, limits
        )
        gain = self._net_gain(long_run_plan, context)
        return long_run_plan if gain > self._net_gain(plan, context) else plan

    def _rebase(
        self,
        estimate: LoadEstimate,
        moved: NDArray[np.bool_],
    ) -> None:
        layers: NDArray[np.bool_] = moved.reshape(len(moved), -1).max(axis=1)
        self._current.rebase(layers, estimate)
        self._long_run.rebase(layers, estimate.long_run())

    def _max_loads(self, context: DecisionContext, now: float) -> int:
        until = now + self._settings.load_window_s
        rate_share = self._costs.rate_share(context.utilisation)
        allowance = rate_share * context.store.allowance(now, until)
        return int(allowance / self._shape.expert_bytes)

    def _plan_limits(self, context: DecisionContext, now: float) -> PlanLimits:
        rate = context.store.bytes_per_s
        steps = self._costs.loading_steps(self._shape.expert_bytes, rate)
        relative_cost = self._weights.cost / self._weights.skew
        return PlanLimits(relative_cost * steps, self._max_loads(context, now))

    def _net_gain(self, plan: Plan, context: DecisionContext) -> float:
        """Return the net gain of a plan, in steps of the group."""
        load_bytes = plan.loads * self._shape.expert_bytes
        cost_steps = self._costs.change_steps(
            load_bytes, context.store.bytes_per_s
        )
        saved_steps = plan.gain * plan.lifetime
        return (
            self._weights.skew * saved_steps - self._weights.cost * cost_steps
        )

    def _change(
        self,
        plan: Plan,
        expert_map: ExpertMap,
        context: DecisionContext,
        now: float,
    ) -> Change:
        target = ExpertMap(expert_map.version + 1, plan.placement)
        load_bytes = plan.loads * self._shape.expert_bytes
        rate_share = self._costs.rate_share(context.utilisation)
        return Change(
            target,
            expert_map.moves_to(target),
            plan.gain,
            load_bytes,
            rate_share * context.store.bytes_per_s,
            context.store.reserve(load_bytes, now, rate_share),
            'pays-back',
        )
