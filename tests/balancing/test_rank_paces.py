"""Slow ranks delay all ranks of a group until their experts are moved.

A new pace can be planned for late, although the demand is known: if it is
noticed only with the next reports or counted demand, passes stay long for one
to two seconds. A search for equal ranks leaves experts on the slow ones. And a
pace that passes deny must not change the map.
"""

from __future__ import annotations

import asyncio
import unittest

from tests.balancing.group_model import EXPERT_SHARE, GroupShape
from tests.balancing.test_demand_shifts import Scenario, run_scenario
from tests.virtual_time import LoopClock

#: Five steps of 4.55 ms, and full batches.
SHAPE = GroupShape(
    63, 8, 252, 5, 0.67, 0.029, pause_s=0.1, fetch_s=0.0284, steps_s=0.02275
)
#: Time by which the demand is known and a map for it is in force.
SETTLED_AT_S = 6.0
#: Time in seconds after a change of the paces by which passes are near the
#: shortest possible ones, and their ratio to these.
ADAPTED_AFTER_S = 2.0
MAX_PASS_RATIO = 1.15
#: Maximum time in seconds from a new pace to a map for it.
MAX_PLAN_TIME_S = 1.0
TEN_RANKS = range(3, 63, 6)


def best_pass_s(shape, paces):
    """Return the duration of a pass if load were divisible at will."""
    level = len(paces) / sum(1 / pace for pace in paces)
    stretch = (1 - EXPERT_SHARE) * max(paces) + EXPERT_SHARE * level
    return shape.steps_s * max(paces) + shape.pass_s * stretch


async def _start(shape):
    scenario = Scenario(shape)
    await scenario.leader.start()
    await scenario.until(SETTLED_AT_S)
    return scenario


async def _ratio_after(scenario, seconds):
    await asyncio.sleep(seconds)
    group = scenario.group
    return group.pass_s / best_pass_s(group.shape, group.paces)


class TestSlowRanks(unittest.TestCase):
    """Maps follow the paces of ranks."""

    def test_passes_are_short_soon_after_ranks_become_slow(self):
        for ranks in (range(3, 4), TEN_RANKS):
            for pace in (2.0, 5.0):
                with self.subTest(ranks=len(ranks), pace=pace):
                    slow = dict.fromkeys(ranks, pace)
                    ratio, _ = run_scenario(self._slow_down(slow))
                    self.assertLess(ratio, MAX_PASS_RATIO)

    def test_the_map_changes_before_the_demand_is_counted_again(self):
        slow = dict.fromkeys(TEN_RANKS, 5.0)
        _, planned_after_s = run_scenario(self._slow_down(slow))
        self.assertLess(planned_after_s, MAX_PLAN_TIME_S)

    def test_slow_ranks_change_places(self):
        ratios = run_scenario(self._change_places({3: 5.0}, {40: 5.0}))
        for ratio in ratios:
            self.assertLess(ratio, MAX_PASS_RATIO, ratios)

    def test_usual_pace_returns(self):
        ratios = run_scenario(
            self._change_places(dict.fromkeys(TEN_RANKS, 5.0), {})
        )
        for ratio in ratios:
            self.assertLess(ratio, MAX_PASS_RATIO, ratios)

    def test_a_pace_that_passes_deny_changes_nothing(self):
        self.assertEqual(run_scenario(self._lie()), 0)

    async def _slow_down(self, slow):
        scenario = await _start(SHAPE)
        group = scenario.group
        began_at = LoopClock().now()
        group.slow_down(slow)
        ratio = await _ratio_after(scenario, ADAPTED_AFTER_S)
        await scenario.end()
        changes = [at for at in group.changed_at.values() if at > began_at]
        return ratio, min(changes, default=began_at + 10) - began_at

    async def _change_places(self, first, second):
        scenario = await _start(SHAPE)
        ratios = []
        for slow in (first, second):
            scenario.group.slow_down(slow)
            ratios.append(await _ratio_after(scenario, ADAPTED_AFTER_S))
        await scenario.end()
        return ratios

    async def _lie(self):
        scenario = await _start(SHAPE)
        known = set(scenario.group.changed_at)
        scenario.group.slow_down({}, reported={3: 5.0})
        await asyncio.sleep(3)
        await scenario.end()
        return len(set(scenario.group.changed_at) - known)


if __name__ == '__main__':
    unittest.main()
