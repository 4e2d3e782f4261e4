"""Detects searches that consider only ranks that can't relieve a slow one."""

from __future__ import annotations

import unittest

import numpy as np

from snipebend.experts.step_targets import (
    MAX_TARGETS,
    RankRoom,
    coolest_targets,
    find_slow_ranks,
    uneven_targets,
)

RANKS = 30
HOT = 0


def flags(*ranks):
    """Return flags that are set for some ranks."""
    found = np.zeros(RANKS, dtype=bool)
    found[list(ranks)] = True
    return found


class TestTargets(unittest.TestCase):
    """The targets of steps from one rank; the heat of ranks is their number."""

    def setUp(self):
        self.heat = np.arange(RANKS, dtype=float)
        self.nobody = flags()
        self.all_ranks = flags(*range(RANKS))

    def test_equal_ranks_take_the_coolest(self):
        self.assertEqual(
            coolest_targets(HOT, self.heat).tolist(),
            list(range(1, 1 + MAX_TARGETS)),
        )

    def test_only_ranks_far_from_the_fastest_are_slow(self):
        slow = find_slow_ranks(np.array([2.0, 2.2, 3.0]))
        self.assertEqual(slow.tolist(), [False, False, True])

    def test_a_slow_rank_considers_hotter_ranks_with_a_place(self):
        room = RankRoom(self.all_ranks, flags(20), self.nobody)
        targets = uneven_targets(HOT, self.heat, flags(HOT), room)
        self.assertIn(20, targets.tolist())

    def test_a_slow_rank_considers_hotter_ranks_that_drop_a_copy(self):
        room = RankRoom(self.all_ranks, self.nobody, flags(20))
        targets = uneven_targets(HOT, self.heat, flags(HOT), room)
        self.assertIn(20, targets.tolist())

    def test_ranks_that_may_not_fetch_are_not_preferred(self):
        room = RankRoom(~flags(20), flags(20), flags(20))
        targets = uneven_targets(HOT, self.heat, flags(HOT), room)
        self.assertNotIn(20, targets.tolist())

    def test_another_slow_rank_is_not_preferred(self):
        room = RankRoom(self.all_ranks, flags(20), flags(20))
        targets = uneven_targets(HOT, self.heat, flags(HOT, 20), room)
        self.assertNotIn(20, targets.tolist())


if __name__ == '__main__':
    unittest.main()
