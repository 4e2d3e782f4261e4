"""Plans expert maps by the rebalancing policy and the fleet file's weights."""

from __future__ import annotations

from typing import TYPE_CHECKING

import numpy as np
from loguru import logger

from snipebend.errors.hierarchy import InvalidInputError
from snipebend.experts.cost import CostModel, StoreBudget
from snipebend.experts.estimate import ExpertReport, LoadEstimator
from snipebend.experts.placement import place_from_scratch
from snipebend.experts.policy import Change, DecisionContext, Keep, Policy
from snipebend.experts.skew import relative_loads, step_skew
from snipebend.experts.switch_cost import PlacedMap
from snipebend.transport.map_planning import Plan, build_shape

if TYPE_CHECKING:
    from collections.abc import Mapping

    from snipebend.experts.estimate import LoadEstimate
    from snipebend.fleet.model import Fleet, Group, Weights
    from snipebend.orders.expert_load import ExpertLoadReply
    from snipebend.transport.map_planning import PlanningContext

#: Half-life, in steps, of the weight of a load report.
HALF_LIFE_STEPS = 2000


class PolicyPlanner:
    """Plans with one load estimate and policy per group.

    Both are reset when the members change.
    """

    def __init__(self, group: Group, weights: Weights) -> None:
        """Create a planner that has received no load reports."""
        self._group = group
        self._weights = weights
        self._reset(group.ranks)

    def place(self, members: tuple[str, ...], version: int) -> Plan:
        """Place all experts from scratch, by the estimated loads."""
        shares = self._estimator.estimate().shares
        self._reset(len(members))
        loads = relative_loads(shares, len(members))
        try:
            placed = place_from_scratch(self._shape, loads, version)
        except InvalidInputError as exc:
            return Plan(None, exc.message)
        return Plan(PlacedMap(members, placed), 'members-changed')

    def rebalance(
        self,
        in_force: PlacedMap,
        loads: Mapping[str, ExpertLoadReply],
        context: PlanningContext,
    ) -> Plan:
        """Record the loads and let the policy decide on a change."""
        if len(in_force.members) != self._shape.ranks:
            self._reset(len(in_force.members))
        for number, rank in enumerate(in_force.members):
            load = loads.get(rank)
            if load is not None:
                self._record(number, load)
        estimate = self._estimator.estimate()
        skew = self._compute_skew(estimate, in_force)
        budget = StoreBudget(
            self._group.store_bytes_per_s,
            context.store_free_at,
        )
        steps = [load.step for load in loads.values()]
        decision = self._policy.decide(
            estimate,
            in_force.expert_map,
            DecisionContext(
                max(steps, default=estimate.step),
                context.changed_at_step,
                context.utilisation,
                budget,
            ),
            context.now,
        )
        match decision:
            case Keep(reason):
                return Plan(None, reason, skew)
            case Change(expert_map=expert_map, reason=reason):
                placed = PlacedMap(in_force.members, expert_map)
                rate_share = decision.bytes_per_s / budget.bytes_per_s
                return Plan(placed, reason, skew, rate_share)

    def _reset(self, ranks: int) -> None:
        self._shape = build_shape(self._group, ranks)
        self._estimator = LoadEstimator(self._shape, HALF_LIFE_STEPS)
        self._policy = Policy(
            self._shape,
            self._weights,
            CostModel(),
            hold_steps=self._group.hold_steps,
        )

    def _record(self, number: int, load: ExpertLoadReply) -> None:
        counts = np.array(load.counts, dtype=np.int64)
        if not counts.any():
            return
        layers = np.arange(len(counts))
        report = ExpertReport(number, load.step, layers, counts)
        recorded = self._estimator.record(report)
        if recorded.is_err():
            logger.warning(
                'event=expert_load_refused group={} rank={} reason={!r}',
                self._group.name,
                number,
                recorded.unwrap_err().message,
            )

    def _compute_skew(
        self, estimate: LoadEstimate, in_force: PlacedMap
    ) -> float:
        if estimate.step < 0:
            return 0
        loads = relative_loads(estimate.shares, self._shape.ranks)
        return step_skew(in_force.expert_map.placement, loads)


def build_policy_planner(group: Group, fleet: Fleet) -> PolicyPlanner:
    """Create the planner of a group with the fleet's weights."""
    return PolicyPlanner(group, fleet.weights)
