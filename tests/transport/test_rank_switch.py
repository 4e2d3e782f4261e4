"""An engine must not stay on hold for a switch that was aborted.

The reply to the order that put it on hold can be lost, so that its agent does
not know of the hold.
"""

from __future__ import annotations

import asyncio
import unittest

from result import Ok

from snipebend.experts.switch_messages import (
    Activate,
    GroupRecord,
    MapStamp,
    Prepare,
    StatusQuery,
    SwitchDecision,
)
from snipebend.kernel.tasks import TaskSupervisor
from snipebend.orders.messages import EngineState
from snipebend.transport.rank_switch import RankSwitch
from tests.virtual_time import LoopClock, run_in_virtual_time

GROUP = 'g'
RANK = 'r'
FENCE = 1
STAMP = MapStamp(0, 1)
DECISION = SwitchDecision(STAMP, 100, 'digest', (RANK,))


class SilentEngine:
    """Executes map orders; the replies to ``prepare`` are lost."""

    def __init__(self):
        self.clock = LoopClock()
        self.engine = self
        self.actions = []

    @property
    def is_held(self):
        return bool(self.actions) and self.actions[-1] == 'prepare'

    async def rank_state(self):
        return Ok(EngineState())

    async def send(self, group, fence, decision, action):
        self.actions.append(action)
        return action != 'prepare'

    def fence(self, group):
        return FENCE

    def record_fence(self, group, fence):
        """Do nothing: the fence never changes."""


class TestAbortedSwitch(unittest.TestCase):
    """The switch is aborted before the engine has confirmed its hold."""

    def test_engine_is_released_although_its_reply_was_lost(self):
        """Guards against an engine that nobody releases from its hold."""
        engine = run_in_virtual_time(_abort_switch())
        self.assertEqual(engine.actions, ['prepare', 'abort'])
        self.assertFalse(engine.is_held)

    def test_engine_stays_on_hold_until_the_abort(self):
        engine = run_in_virtual_time(_query_during_switch())
        self.assertTrue(engine.is_held)


async def _begin_switch():
    engine, tasks = SilentEngine(), TaskSupervisor()
    switch = RankSwitch(GROUP, RANK, engine, None, tasks)
    life = switch.guard.life
    await switch.handle_order(Prepare(GROUP, FENCE, life, MapStamp(), DECISION))
    await asyncio.sleep(0.1)
    return engine, tasks, switch


async def _abort_switch():
    engine, tasks, switch = await _begin_switch()
    aborted = GroupRecord(settled=STAMP.map_version)
    await switch.handle_order(Activate(GROUP, FENCE, aborted))
    await asyncio.sleep(2)
    await tasks.stop()
    return engine


async def _query_during_switch():
    engine, tasks, switch = await _begin_switch()
    await switch.handle_order(StatusQuery(GROUP, FENCE))
    await tasks.stop()
    return engine


if __name__ == '__main__':
    unittest.main()
