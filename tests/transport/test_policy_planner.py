"""Guards against needless expert map switches, and against missing ones.

Agents report the load of each expert. An even load must not change the map, one
hot expert must. Too few members, or reports of another size than the group's,
must give a reason instead of a map.
"""

from __future__ import annotations

import unittest

import numpy as np

from snipebend.experts.switch_cost import fetch_bytes
from snipebend.fleet.model import Group, Weights
from snipebend.orders.expert_load import ExpertLoadReply
from snipebend.transport.map_planning import Plan, PlanningContext
from snipebend.transport.policy_planner import PolicyPlanner

MEMBERS = ('a', 'b', 'c', 'd')
GROUP = Group('g', 'm', ('p',), 4, 16, 2, 6, 1000, 1_000_000_000, 8)


class PolicyPlannerTest(unittest.TestCase):
    """A planner for a group of four members that report equal loads."""

    def test_map_changes_for_a_hot_expert_but_not_for_even_load(self) -> None:
        planner = PolicyPlanner(GROUP, Weights(0.7, 0.3))
        first = planner.place(MEMBERS, 1).placed
        even = np.full((2, 16), 500)
        plan = self.report(planner, first, even, 0)
        self.assertIsNone(plan.placed)
        self.assertGreaterEqual(plan.skew, 1)
        hot = even.copy()
        hot[:, 3] = 20_000
        plan = self.report(planner, first, hot, 4000)
        self.assertIsNotNone(plan.placed, plan.reason)
        sizes = fetch_bytes(first, plan.placed, GROUP.expert_bytes, ())
        self.assertLess(sum(sizes.values()), 4 * 12 * 1000)
        sizes_without_map = fetch_bytes(
            first, plan.placed, GROUP.expert_bytes, ('b',)
        )
        self.assertEqual(sizes_without_map['b'], 12 * 1000)

    def test_too_few_members_and_reports_of_other_sizes(self) -> None:
        planner = PolicyPlanner(GROUP, Weights(0.5, 0.5))
        self.assertIsNone(planner.place(MEMBERS[:2], 1).placed)
        placed = planner.place(MEMBERS, 1).placed
        plan = self.report(planner, placed, np.ones((3, 4)), 0)
        self.assertEqual((plan.placed, plan.reason), (None, 'no-reports'))

    def report(self, planner, placed, counts, first_step) -> Plan:
        """Report equal counts for all members until a map is planned.

        Stops after 20 reports at the latest; returns the last plan.
        """
        for step in range(first_step, first_step + 4000, 200):
            reply = ExpertLoadReply(step, counts.astype(int).tolist())
            context = PlanningContext(step / 20, 0, 0.2, 0)
            loads = dict.fromkeys(MEMBERS, reply)
            plan = planner.rebalance(placed, loads, context)
            if plan.placed is not None:
                return plan
        return plan


if __name__ == '__main__':
    unittest.main()
