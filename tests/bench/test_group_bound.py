"""Detects bounds that a policy could beat, or that none reaches."""

from __future__ import annotations

import unittest

from bench.group_bound import (
    ENGINES,
    SlowRanks,
    bound_change,
    bound_pass,
    level_heat,
)

WORK_MS = 20
EQUAL = SlowRanks(0, 1)


class TestPasses(unittest.TestCase):
    """Bounds of passes."""

    def test_equal_ranks_have_nothing_to_gain(self):
        for engine in ENGINES:
            bound = bound_pass(engine, EQUAL, WORK_MS)
            self.assertAlmostEqual(bound.mapped_ms, bound.kept_ms)
            self.assertAlmostEqual(bound.best_ms, bound.kept_ms)

    def test_a_map_alone_leaves_the_steps_of_a_slow_rank(self):
        for engine in ENGINES:
            for pace in (2, 5):
                with self.subTest(ranks=engine.ranks, pace=pace):
                    bound = bound_pass(engine, SlowRanks(1, pace), WORK_MS)
                    steps_ms = pace * engine.pass_steps * engine.step_ms
                    self.assertLess(steps_ms, bound.mapped_ms)
                    self.assertLess(bound.best_ms, bound.mapped_ms)
                    self.assertLess(bound.mapped_ms, bound.kept_ms)

    def test_one_slow_rank_hardly_matters_without_its_requests(self):
        for engine in ENGINES:
            usual = bound_pass(engine, EQUAL, WORK_MS)
            bound = bound_pass(engine, SlowRanks(1, 5), WORK_MS)
            self.assertLess(bound.best_ms, 1.05 * usual.best_ms)

    def test_load_is_divided_by_speed(self):
        """53 ranks and ten of a fifth of their speed do the work of 55."""
        self.assertAlmostEqual(level_heat(63, SlowRanks(10, 5)), 63 / 55)


class TestChanges(unittest.TestCase):
    """Bounds of a change that empties the slow ranks."""

    def test_one_change_empties_ten_of_63_ranks(self):
        change = bound_change(ENGINES[0], SlowRanks(10, 5))
        self.assertTrue(change.fits)
        self.assertEqual(change.changes, 1)

    def test_too_many_slow_ranks_keep_experts(self):
        self.assertFalse(bound_change(ENGINES[0], SlowRanks(13, 5)).fits)


if __name__ == '__main__':
    unittest.main()
