"""One plan after the other for each group."""

from __future__ import annotations

import unittest

from snipebend.state.group_plans import GroupPlan, PlanBook, PlanRequest

FIRST = GroupPlan('g', 1, 1, (((0,), (1,)),))


class TestPlanBook(unittest.TestCase):
    """Which plans are decided."""

    def setUp(self):
        self.book = PlanBook()

    def test_a_plan_follows_the_one_its_maker_knew(self):
        self.assertTrue(self.book.decide(PlanRequest(FIRST, 0)).accepted)
        second = GroupPlan('g', 1, 2, FIRST.layers)
        self.assertTrue(self.book.decide(PlanRequest(second, 1)).accepted)
        self.assertEqual(self.book.latest('g'), second)

    def test_of_two_makers_one_wins(self):
        self.book.decide(PlanRequest(FIRST, 0))
        rival = GroupPlan('g', 1, 1, (((1,), (0,)),))
        reply = self.book.decide(PlanRequest(rival, 0))
        self.assertFalse(reply.accepted)
        self.assertEqual(reply.plan, FIRST)

    def test_a_resend_is_accepted_again(self):
        self.book.decide(PlanRequest(FIRST, 0))
        self.assertTrue(self.book.decide(PlanRequest(FIRST, 0)).accepted)

    def test_a_version_is_never_used_twice(self):
        self.book.decide(PlanRequest(FIRST, 0))
        again = GroupPlan('g', 2, 1, FIRST.layers)
        self.assertFalse(self.book.decide(PlanRequest(again, 1)).accepted)

    def test_versions_grow_over_all_groups(self):
        """A rank may come from another group, and refuses what is lower."""
        self.assertEqual(self.book.next_version, 1)
        self.book.decide(PlanRequest(FIRST, 0))
        other = GroupPlan('h', 1, self.book.next_version, FIRST.layers)
        self.assertTrue(self.book.decide(PlanRequest(other, 0)).accepted)
        self.assertEqual(self.book.next_version, 3)
