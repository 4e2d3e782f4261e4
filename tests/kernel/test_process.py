"""Guards against services that stop in the wrong order, and lost tasks.

A service that stops before the services that use it breaks requests that still
run. A task that fails must run again, a full mailbox must reject messages
instead of growing, and two services must not have the same name.
"""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING

from snipebend.errors.hierarchy import InvalidInputError
from snipebend.kernel.mailbox import Mailbox
from snipebend.kernel.process import Process
from snipebend.kernel.service import Service
from snipebend.kernel.tasks import TaskSupervisor

if TYPE_CHECKING:
    from snipebend.kernel.registry import Registry


class _Recorder(Service):
    def __init__(self, name: str, events: list[str]) -> None:
        super().__init__(name)
        self._events = events

    async def start(self, registry: Registry) -> None:
        self._events.append(f'start {self.name}')

    async def drain(self) -> None:
        self._events.append(f'drain {self.name}')

    async def stop(self) -> None:
        self._events.append(f'stop {self.name}')


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    """Services start, drain and stop in the defined order."""

    async def test_drains_all_then_stops_in_reverse(self) -> None:
        events: list[str] = []
        process = Process('p', [_Recorder('a', events), _Recorder('b', events)])
        await process.start()
        self.assertTrue(process.ready())
        await process.stop()
        self.assertFalse(process.ready())
        self.assertEqual(
            events,
            [
                'start a',
                'start b',
                'drain a',
                'drain b',
                'stop b',
                'stop a',
            ],
        )

    async def test_names_are_unique_and_lookup_checks_the_type(self) -> None:
        with self.assertRaises(InvalidInputError):
            Process('p', [Service('a'), Service('a')])
        registry = Process('p', [Service('a')]).registry
        self.assertEqual(registry.find('a', Service).name, 'a')
        with self.assertRaisesRegex(InvalidInputError, 'step=find'):
            registry.find('a', _Recorder)


class TasksTest(unittest.IsolatedAsyncioTestCase):
    """Failed tasks restart; full mailboxes reject messages."""

    async def test_failed_task_is_restarted(self) -> None:
        supervisor = TaskSupervisor()
        runs: list[int] = []
        done = asyncio.Event()

        async def fail_once() -> None:
            runs.append(1)
            if len(runs) == 1:
                raise ValueError('first run fails')
            done.set()

        supervisor.start('t', fail_once)
        await asyncio.wait_for(done.wait(), 10)
        await supervisor.stop()
        self.assertEqual(len(runs), 2)

    async def test_full_mailbox_rejects_messages(self) -> None:
        mailbox: Mailbox[int] = Mailbox(1)
        self.assertTrue(mailbox.post(1))
        self.assertFalse(mailbox.post(2))
        self.assertEqual(await mailbox.receive(), 1)
        self.assertEqual(len(mailbox), 0)
