"""Detects plans for paces that have not changed, or that passes deny."""

from __future__ import annotations

import unittest

from snipebend.experts.rank_paces import (
    PLAN_INTERVAL_S,
    USUAL_PASS_WINDOW_S,
    RankPaces,
)

USUAL = (1.0, 1.0, 1.0)
SLOW = (1.0, 5.0, 1.0)
PASS_S = 0.05


def observe(reported, pass_s=PASS_S):
    """Return the paces of a group that was usual until they were reported."""
    paces = RankPaces()
    paces.update(USUAL, PASS_S, 0.0)
    paces.update(reported, pass_s, 1.0)
    return paces


class TestPlans(unittest.TestCase):
    """A plan is due once for each change of the paces."""

    def test_usual_paces_need_no_plan(self):
        self.assertFalse(observe(USUAL).is_plan_due(1.0))

    def test_a_slow_rank_is_planned_for_once(self):
        paces = observe(SLOW)
        self.assertTrue(paces.is_plan_due(1.0))
        paces.note_planned(1.0)
        self.assertFalse(paces.is_plan_due(1.0 + PLAN_INTERVAL_S))

    def test_a_small_change_needs_no_plan(self):
        self.assertFalse(observe((1.0, 1.2, 1.0)).is_plan_due(1.0))

    def test_the_return_to_the_usual_pace_is_planned_for(self):
        paces = observe(SLOW)
        paces.note_planned(1.0)
        paces.update(USUAL, PASS_S, 2.0)
        self.assertTrue(paces.is_plan_due(2.0))

    def test_slow_ranks_that_change_places_are_planned_for(self):
        paces = observe(SLOW)
        paces.note_planned(1.0)
        paces.update((5.0, 1.0, 1.0), PASS_S, 2.0)
        self.assertTrue(paces.is_plan_due(2.0))

    def test_plans_for_flapping_paces_keep_a_distance(self):
        paces = observe(SLOW)
        paces.note_planned(1.0)
        paces.update(USUAL, PASS_S, 1.1)
        self.assertFalse(paces.is_plan_due(1.1))
        self.assertTrue(paces.is_plan_due(1.0 + PLAN_INTERVAL_S))

    def test_a_failed_attempt_is_repeated_after_the_interval(self):
        """The map in force can't be read while ranks have different ones."""
        paces = observe(SLOW)
        paces.note_attempt(1.0)
        self.assertFalse(paces.is_plan_due(1.05))
        self.assertTrue(paces.is_plan_due(1.0 + PLAN_INTERVAL_S))


class TestPasses(unittest.TestCase):
    """Passes confirm or deny what reports state."""

    def test_passes_that_did_not_grow_deny_a_slow_rank(self):
        self.assertTrue(observe(SLOW).are_denied(4.0))

    def test_passes_that_grew_confirm_a_slow_rank(self):
        self.assertFalse(observe(SLOW, 4 * PASS_S).are_denied(4.0))

    def test_nothing_is_denied_without_pass_times(self):
        self.assertFalse(observe(SLOW, None).are_denied(4.0))

    def test_passes_that_grew_a_little_confirm_a_slow_rank(self):
        """Its requests were moved, and load is light."""
        self.assertFalse(observe(SLOW, 1.6 * PASS_S).are_denied(4.0))

    def test_a_relieved_rank_is_not_denied(self):
        """It would get its experts back while it is still slow."""
        for growth in (1.0, 1.05, 1.2):
            paces = observe(SLOW, 0.9 * PASS_S)
            with self.subTest(growth=growth):
                self.assertFalse(paces.are_denied(growth))

    def test_passes_that_a_slow_rank_delays_are_not_usual(self):
        paces = observe(SLOW, 4 * PASS_S)
        paces.update(SLOW, 4 * PASS_S, 2 * USUAL_PASS_WINDOW_S)
        self.assertFalse(paces.are_denied(4.0))

    def test_reports_are_outdated_while_only_passes_have_grown(self):
        self.assertTrue(observe(USUAL, 2 * PASS_S).are_reports_outdated)
        self.assertFalse(observe(USUAL).are_reports_outdated)
        self.assertFalse(observe(SLOW, 2 * PASS_S).are_reports_outdated)


if __name__ == '__main__':
    unittest.main()
