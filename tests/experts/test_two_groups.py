"""A seeded search over schedules of two groups under one leader."""

from __future__ import annotations

import unittest

from tests.experts.direct_simulation import MixedMapsError
from tests.experts.pair_simulation import ApartHalf, CrossedHalf, Pair, TornPair

SCHEDULES = 60
SPAN_S = 60

#: A planted fault must be found within this many schedules.
FAULT_SCHEDULES = 100


def is_finished(half):
    """Tell whether a group has the map that was planned last for it."""
    epoch, version = half.plan
    if epoch != half.engines.epoch:
        return True
    return all(rank.map_version == version for rank in half.engines.ranks)


class TestTwoGroups(unittest.TestCase):
    """Neither's switches touch the other."""

    def test_no_pass_mixes_maps_and_both_end_their_switches(self):
        switched = 0
        for seed in range(SCHEDULES):
            with self.subTest(seed=seed):
                pair = Pair(seed)
                pair.run(SPAN_S)
                pair.settle()
                steps = [half.engines.step for half in pair.halves]
                pair.run(5)
                for half, step in zip(pair.halves, steps, strict=True):
                    self._check(half, step)
                    switched += half.plan[1]
        self.assertGreater(switched, SCHEDULES * 4)

    def _check(self, half, step):
        ranks = half.engines.ranks
        self.assertTrue(is_finished(half))
        self.assertFalse([rank for rank in ranks if rank.held])
        self.assertGreater(half.engines.step, step + 20)


class TestPlantedFaults(unittest.TestCase):
    """The search finds each of these."""

    def test_orders_that_reach_the_other_group(self):
        """With epochs that coincide: they are what refuses them else."""
        self._find(lambda seed: Pair(seed, CrossedHalf, other_epoch=1))

    def test_ranks_that_change_groups_within_an_epoch(self):
        self._find(TornPair)

    def test_versions_that_are_numbered_group_by_group(self):
        """A rank that came from the other group refuses them for long."""
        for seed in range(FAULT_SCHEDULES):
            pair = Pair(seed, ApartHalf)
            pair.run(SPAN_S)
            pair.settle()
            if not all(map(is_finished, pair.halves)):
                return
        self.fail('was not found')

    def _find(self, make):
        for seed in range(FAULT_SCHEDULES):
            try:
                make(seed).run(SPAN_S)
            except MixedMapsError:
                return
        self.fail('was not found')
