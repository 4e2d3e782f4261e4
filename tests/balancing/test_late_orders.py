"""A group must not stay on hold because an order was executed late.

Orders without a reply are executed seconds later, also while the group is idle
and its switch waits for the next pass.
"""

from __future__ import annotations

import asyncio
import random
import unittest

from snipebend.experts.direct_orders import Arm, Hold, Prepare
from tests.balancing.late_group import LateGroup
from tests.balancing.test_demand_shifts import run_scenario

SCHEDULES = 40
BURSTS = 5
LATE_SHARE = 0.5
#: Share of the pauses in which the leader is replaced.
REPLACED_SHARE = 0.4
#: Share of the pauses in which a rank crashes, or refuses the next plan.
CHANGED_SHARE = 0.2
#: Bounds in seconds of the time by which orders are late.
LATE_S = (2.0, 12.0)
#: Seconds without work until a late order has been executed and handled.
SETTLED_S = LATE_S[1] + 3
#: Seconds of work at the end, and the least number of passes in them.
FINAL_WORK_S = 4
FINAL_PASSES = 40


async def make_group(delay_of=None, seed=1):
    """Return a group whose first leader may send orders."""
    group = LateGroup(random.Random(seed), delay_of)
    await group.replace_leader()
    await asyncio.sleep(1)
    return group


async def arm_idle_group():
    """Return an idle group, armed for a pass that is not the next one.

    The leader chooses a later pass because it lost a reply.
    """
    group = await make_group(DelayedOnce(Prepare, 1))
    group.plan_switch()
    await asyncio.sleep(2)
    return group, group.armed.pop()


async def count_final_passes(group):
    """Return the passes that the group runs once all orders are executed."""
    group.end_work()
    await asyncio.sleep(SETTLED_S)
    before = group.engines.step
    group.begin_work()
    await asyncio.sleep(FINAL_WORK_S)
    await group.stop()
    return group.engines.step - before


class DelayedOnce:
    """Delays the first order of one type."""

    def __init__(self, kind, delay_s):
        self._kind = kind
        self._delay_s = delay_s

    def __call__(self, order):
        if self._kind is None or not isinstance(order, self._kind):
            return None
        self._kind = None
        return self._delay_s


class TestIdleGroup(unittest.TestCase):
    """The group is idle when a late hold is executed."""

    def test_hold_before_the_pass_of_the_switch(self):
        """Guards against a group that nobody released from a late hold.

        All ranks were armed and ``Go`` had been accepted.
        """

        async def scenario():
            group = await make_group(DelayedOnce(Hold, 3))
            version = group.plan_switch()
            return await count_final_passes(group), group, version

        self._check(*run_scenario(scenario()))

    def test_hold_before_an_earlier_pass(self):
        """Guards against ranks that are armed for a second pass.

        An ``Arm`` for the first one may still be executed late.
        """
        for is_replaced in (False, True):
            with self.subTest(is_replaced=is_replaced):
                self._check(*run_scenario(self._hold_earlier_pass(is_replaced)))

    def test_hold_before_a_later_pass_and_a_new_leader(self):
        """Guards against ranks that are armed for a second pass."""

        async def scenario():
            group, armed = await arm_idle_group()
            self.assertTrue(group.execute(Hold(0, 1, armed.step + 1)))
            await group.replace_leader()
            await asyncio.sleep(3)
            self.assertEqual(group.armed, {armed})
            return await count_final_passes(group), group, armed.version

        passes, group, version = run_scenario(scenario())
        self.assertGreater(passes, FINAL_PASSES)
        # A switch to the same map ended the hold.
        self.assertEqual(group.map_versions, {version + 1})

    def test_hold_while_a_rank_refuses_the_plan(self):
        """Guards against a switch that waits forever for a refused plan.

        The switch was to end the hold.
        """

        async def scenario():
            group = await make_group()
            refused = group.refuse_next_plan()
            self.assertTrue(group.execute(Hold(0, 1, 1)))
            return await count_final_passes(group), group, refused + 1

        self._check(*run_scenario(scenario()))

    async def _hold_earlier_pass(self, is_replaced):
        group, armed = await arm_idle_group()
        self.assertTrue(group.execute(Hold(0, 1, armed.step - 1)))
        if is_replaced:
            await group.replace_leader()
        await asyncio.sleep(3)
        self.assertEqual(group.armed, {armed})
        return await count_final_passes(group), group, armed.version

    def _check(self, passes, group, version):
        self.assertGreater(passes, FINAL_PASSES)
        self.assertEqual(group.map_versions, {version})


class TestReplacedRank(unittest.TestCase):
    """A rank that does not respond to the orders of a switch is replaced."""

    def test_switch_ends(self):
        """Guards against a switch that waits forever for the previous rank."""
        for kind, rank in ((Hold, 0), (Arm, 1)):
            with self.subTest(kind=kind):
                versions, version = run_scenario(_replace_rank(kind, rank))
                self.assertEqual(versions, {version})


class TestSchedules(unittest.TestCase):
    """Half of the orders are late, and leaders are replaced at any time."""

    def test_groups_run_passes_after_all_faults(self):
        for seed in range(SCHEDULES):
            with self.subTest(seed=seed):
                passes = run_scenario(_run_schedule(seed))
                self.assertGreater(passes, FINAL_PASSES)


async def _replace_rank(kind, rank):
    group = await make_group(
        lambda order: 60 if isinstance(order, kind) else None
    )
    group.begin_work()
    group.plan_switch()
    await asyncio.sleep(1)
    group.replace_rank(rank)
    group.delay_of = lambda order: None
    await asyncio.sleep(3)
    version = group.plan_switch()
    await asyncio.sleep(5)
    await group.stop()
    return group.map_versions, version


async def _run_schedule(seed):
    rng = random.Random(seed)
    group = await make_group(seed=seed)

    def delay_of(order):
        return rng.uniform(*LATE_S) if rng.random() < LATE_SHARE else None

    for _ in range(BURSTS):
        group.delay_of = delay_of
        group.begin_work()
        await asyncio.sleep(rng.uniform(0, 0.5))
        group.plan_switch()
        await asyncio.sleep(rng.uniform(0, 2))
        group.end_work()
        await asyncio.sleep(rng.uniform(0, 6))
        if rng.random() < REPLACED_SHARE:
            await group.replace_leader()
        if rng.random() < CHANGED_SHARE:
            rng.choice((group.crash, group.refuse_next_plan))()
    group.delay_of = lambda order: None
    return await count_final_passes(group)


if __name__ == '__main__':
    unittest.main()
