"""Searches for a schedule in which the switch of one group affects another one.

An order can be executed late, after its rank moved to the other group. If the
epoch did not change, the rank executes it there. If each group numbers its
versions independently, a moved rank refuses versions of its new group.
"""

from __future__ import annotations

import unittest

from tests.experts.direct_simulation import MixedMapsError
from tests.experts.pair_simulation import (
    MisroutingGroup,
    OwnVersionsGroup,
    PairSimulation,
    UnchangedEpochPair,
)

SCHEDULES = 60
SPAN_S = 60

#: Number of schedules within which an injected fault must be detected.
FAULT_SCHEDULES = 100


def is_finished(group):
    """Return whether a group runs the map that was last planned for it."""
    epoch, version = group.plan
    if epoch != group.engines.epoch:
        return True
    return all(rank.map_version == version for rank in group.engines.ranks)


class TestTwoGroups(unittest.TestCase):
    """Switches of one group do not affect the other."""

    def test_no_mixed_maps_and_both_switches_finish(self):
        switched = 0
        for seed in range(SCHEDULES):
            with self.subTest(seed=seed):
                pair = PairSimulation(seed)
                pair.run(SPAN_S)
                pair.settle()
                steps = [group.engines.step for group in pair.groups]
                pair.run(5)
                for group, step in zip(pair.groups, steps, strict=True):
                    self._check(group, step)
                    switched += group.plan[1]
        self.assertGreater(switched, SCHEDULES * 4)

    def _check(self, group, step):
        ranks = group.engines.ranks
        self.assertTrue(is_finished(group))
        self.assertFalse([rank for rank in ranks if rank.held])
        self.assertGreater(group.engines.step, step + 20)


class TestInjectedFaults(unittest.TestCase):
    """The search detects each injected fault."""

    def test_orders_sent_to_the_other_group(self):
        """With equal epochs: distinct ones would cause a refusal."""
        self._assert_detected(
            lambda seed: PairSimulation(seed, MisroutingGroup, other_epoch=1)
        )

    def test_ranks_that_change_groups_within_an_epoch(self):
        self._assert_detected(UnchangedEpochPair)

    def test_versions_numbered_per_group(self):
        """A rank moved from the other group refuses many of its versions."""
        for seed in range(FAULT_SCHEDULES):
            pair = PairSimulation(seed, OwnVersionsGroup)
            pair.run(SPAN_S)
            pair.settle()
            if not all(map(is_finished, pair.groups)):
                return
        self.fail('was not found')

    def _assert_detected(self, make):
        for seed in range(FAULT_SCHEDULES):
            try:
                make(seed).run(SPAN_S)
            except MixedMapsError:
                return
        self.fail('was not found')
