"""One group of engines must never get two different expert maps.

A coordinator that does not know yet that it was replaced proposes a plan at the
same time as its successor. A resend must not count as a second plan. A rank
that comes from another group rejects versions up to its highest one, so that
versions must increase across groups.
"""

from __future__ import annotations

import unittest

from snipebend.state.group_plans import GroupPlan, PlanRequest, PlanState

FIRST = GroupPlan('g', 1, 1, (((0,), (1,)),))


class TestPlanBook(unittest.TestCase):
    """Plans are accepted only if they are based on the latest one."""

    def setUp(self):
        self.plans = PlanState()

    def test_plan_based_on_the_latest_is_accepted(self):
        self.assertTrue(self.plans.decide(PlanRequest(FIRST, 0)).accepted)
        second = GroupPlan('g', 1, 2, FIRST.layers)
        self.assertTrue(self.plans.decide(PlanRequest(second, 1)).accepted)
        self.assertEqual(self.plans.latest('g'), second)

    def test_first_of_two_competing_plans_is_accepted(self):
        self.plans.decide(PlanRequest(FIRST, 0))
        rival = GroupPlan('g', 1, 1, (((1,), (0,)),))
        reply = self.plans.decide(PlanRequest(rival, 0))
        self.assertFalse(reply.accepted)
        self.assertEqual(reply.plan, FIRST)

    def test_resend_is_accepted_again(self):
        self.plans.decide(PlanRequest(FIRST, 0))
        self.assertTrue(self.plans.decide(PlanRequest(FIRST, 0)).accepted)

    def test_version_is_never_reused(self):
        self.plans.decide(PlanRequest(FIRST, 0))
        again = GroupPlan('g', 2, 1, FIRST.layers)
        self.assertFalse(self.plans.decide(PlanRequest(again, 1)).accepted)

    def test_versions_increase_across_groups(self):
        """A rank that comes from another group rejects lower versions."""
        self.assertEqual(self.plans.next_version, 1)
        self.plans.decide(PlanRequest(FIRST, 0))
        other = GroupPlan('h', 1, self.plans.next_version, FIRST.layers)
        self.assertTrue(self.plans.decide(PlanRequest(other, 0)).accepted)
        self.assertEqual(self.plans.next_version, 3)
