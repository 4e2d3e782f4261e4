"""Guards against orders that are carried out after their operator gave up.

A control daemon that was frozen, or cut off from an operator, reads orders that
others were asked for since. It must not commit them.
"""

from __future__ import annotations

import asyncio
import gc
import unittest
from contextlib import AsyncExitStack

from snipebend.kernel.clock import SystemClock
from snipebend.kernel.registry import Registry
from snipebend.kernel.stalls import STALL_S
from snipebend.kernel.tasks import TaskSupervisor
from snipebend.settings.model import (
    ControlSettings,
    ProcessSection,
    StorageSection,
)
from snipebend.state.evacuations import (
    EvacuationOrder,
    EvacuationOutcome,
    OrderRequest,
)
from snipebend.state.roster import RecordRequest, UpstreamRecord
from snipebend.transport.caller_watch import CallerWatch, watch_caller
from snipebend.transport.evacuation_service import (
    MAX_NAME_LENGTH,
    EvacuationService,
)
from snipebend.transport.rpc_server import RpcServer
from tests.transport.standalone_state import StandaloneState

NAMES = ('dc-a', 'dc-b')


class ExecutingState(StandaloneState):
    """Commits each command at once."""

    async def execute(self, command):
        return self.local_machine.execute(command)


class SteppedClock(SystemClock):
    """A clock that the test advances."""

    advanced_s = 0.0

    def now(self):
        return 1000 + self.advanced_s


class TestOrders(unittest.IsolatedAsyncioTestCase):
    """One control daemon, without the stalls of the machine that tests run on.

    Its ticks are those of a clock that stands still.
    """

    async def asyncSetUp(self):
        stack = await self.enterAsyncContext(AsyncExitStack())
        self.clock = SteppedClock()
        registry = Registry(self.clock, TaskSupervisor())
        self.state = ExecutingState()
        registry.register(self.state)
        self.service = self.build(NAMES)
        await self.service.start(registry)
        stack.push_async_callback(registry.tasks.stop)

    def build(self, names):
        server = RpcServer('grpc', '127.0.0.1', 0)
        return EvacuationService('evacuations', server, names)

    async def order(self, name='dc-a', has_left=bool):
        return await self.service.order(
            OrderRequest(name, evacuate=True, ordered_by='x'), has_left
        )

    @property
    def evacuated(self):
        return self.state.machine.state.evacuations.list_evacuated()

    async def test_an_order_is_committed(self):
        reply = await self.order()
        self.assertIs(reply.unwrap().outcome, EvacuationOutcome.CHANGED)
        self.assertEqual(self.evacuated, ('dc-a',))
        dumped = self.service.dump()['records']['dc-a']
        self.assertEqual((dumped['ordered_by'], dumped['revision']), ('x', 1))

    async def test_nothing_is_committed_once_the_operator_has_left(self):
        reply = await self.order(has_left=lambda: True)
        self.assertIn('disconnected', str(reply.unwrap_err()))
        self.assertEqual(self.evacuated, ())

    async def test_nothing_is_committed_right_after_a_stall(self):
        self.clock.advanced_s += STALL_S + 1
        self.assertIn('stood still', str((await self.order()).unwrap_err()))
        self.assertEqual(self.evacuated, ())
        self.clock.advanced_s += STALL_S
        self.assertTrue((await self.order()).is_ok())

    async def test_the_revision_is_that_of_the_arrival(self):
        """Whatever is applied while the order rests is later than it."""

        def execute_others():
            evacuations = self.state.machine.state.evacuations
            for after, evacuate in enumerate((True, False)):
                order = EvacuationOrder('dc-a', evacuate, after)
                evacuations.execute(order, 1.0)
            return False

        reply = await self.order(has_left=execute_others)
        self.assertIs(reply.unwrap().outcome, EvacuationOutcome.OUTDATED)
        self.assertEqual(self.evacuated, ())

    async def test_only_named_data_centers_are_known(self):
        for name in ('dc-x', '', 'x' * 99):
            reply = await self.order(name)
            self.assertIs(reply.unwrap().outcome, EvacuationOutcome.UNKNOWN)
        self.assertEqual(self.evacuated, ())

    async def test_a_data_center_of_an_upstream_is_known(self):
        self.assertIs(
            (await self.order('dc-c')).unwrap().outcome,
            EvacuationOutcome.UNKNOWN,
        )
        record = UpstreamRecord('i-1', 's', '10.0.0.1:80', 'dc-c', 4)
        self.state.machine.state.roster.record(RecordRequest(record))
        self.assertIs(
            (await self.order('dc-c')).unwrap().outcome,
            EvacuationOutcome.CHANGED,
        )
        self.assertEqual(self.evacuated, ('dc-c',))

    async def test_any_named_data_center_is_accepted(self):
        """Settings with such names must not keep control from starting."""
        name = f'Zürich {"x" * 99}'
        settings = {
            'process': {'name': 'c', 'data_center': 'dc-b'},
            'storage': {'folder': 'f'},
            'data_centers': [name],
        }
        await self.service.reload(ControlSettings.from_table(settings))
        self.assertIs(
            (await self.order(name)).unwrap().outcome,
            EvacuationOutcome.CHANGED,
        )

    async def test_an_evacuated_data_center_stays_known(self):
        await self.order()
        await self.service.reload(
            ControlSettings(
                process=ProcessSection(name='c', data_center='dc-b'),
                storage=StorageSection(folder='f'),
                data_centers=['dc-b'],
            )
        )
        reply = await self.service.order(OrderRequest('dc-a', evacuate=False))
        self.assertIs(reply.unwrap().outcome, EvacuationOutcome.CHANGED)
        self.assertEqual(self.evacuated, ())

    async def test_without_named_data_centers_any_name_is_known(self):
        await self.service.reload(
            ControlSettings(
                process=ProcessSection(name='c', data_center='dc-b'),
                storage=StorageSection(folder='f'),
            )
        )
        for name in ('', 'x' * (MAX_NAME_LENGTH + 1)):
            reply = await self.order(name)
            self.assertIs(reply.unwrap().outcome, EvacuationOutcome.UNKNOWN)
        self.assertTrue((await self.order('dc-x')).is_ok())
        self.assertEqual(self.evacuated, ('dc-x',))


class TestCallerWatch(unittest.IsolatedAsyncioTestCase):
    """A handler learns that its caller disconnects while it works."""

    async def test_departure(self):
        events = asyncio.Queue()
        seen = []

        async def handler(scope, receive, send):
            async with watch_caller(scope) as has_left:
                events.put_nowait({'type': 'http.request'})
                await asyncio.sleep(0)
                seen.append(has_left())
                events.put_nowait({'type': 'http.disconnect'})
                while not has_left():
                    await asyncio.sleep(0)
                seen.append(has_left())

        async with asyncio.timeout(5):
            await CallerWatch(handler)({}, events.get, None)
        self.assertEqual(seen, [False, True])

    async def test_an_error_is_no_departure(self):
        failed = asyncio.Event()
        seen = []
        unretrieved = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _, context: unretrieved.append(context)
        )

        async def receive():
            failed.set()
            raise RuntimeError('receive')

        async def handler(scope, receive, send):
            async with watch_caller(scope) as has_left:
                await failed.wait()
                await asyncio.sleep(0)
                seen.append(has_left())

        async with asyncio.timeout(5):
            await CallerWatch(handler)({}, receive, None)
        gc.collect()
        self.assertEqual((seen, unretrieved), ([False], []))


if __name__ == '__main__':
    unittest.main()
