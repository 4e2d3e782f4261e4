"""Guards against a wait that swallows its cancellation and never ends.

This happens if the event that is waited for arrives a few iterations of the
event loop before the task is cancelled.
"""

from __future__ import annotations

import asyncio
import unittest
from contextlib import suppress
from functools import partial
from unittest import mock

from snipebend.kernel.clock import SystemClock
from snipebend.kernel.registry import Registry
from snipebend.kernel.tasks import TaskSupervisor
from snipebend.membership.messages import Announcement, DirectoryRequest
from snipebend.transport.configuration_follower import ConfigurationFollower
from snipebend.transport.control_api import ConfigurationApi
from snipebend.transport.directory_api import DirectoryApi
from snipebend.transport.pending_requests import PendingRequests
from snipebend.transport.rpc_server import RpcServer

#: Iterations of the event loop between the wake-up and the cancellation.
TURNS = range(5)
ANNOUNCEMENT = Announcement('u-1', 'p', 'dc', 'h:1', 'g:1', 1, 1)


async def run_loop(times: int) -> None:
    """Run some iterations of the event loop."""
    for _ in range(times):
        await asyncio.sleep(0)


async def start_keeper() -> DirectoryApi:
    """Return a started directory that serves watchers."""
    keeper = DirectoryApi('directory', RpcServer('grpc', '127.0.0.1', 0))
    configuration = mock.create_autospec(ConfigurationApi, instance=True)
    configuration.name = 'configuration'
    configuration.revision = 1
    registry = Registry(SystemClock(), TaskSupervisor())
    registry.register(configuration)
    await keeper.start(registry)
    return keeper


class CancelledWaitsTest(unittest.IsolatedAsyncioTestCase):
    """The task must have ended some iterations after the cancellation."""

    async def assert_cancelled(self, task, wake, turns: int) -> None:
        """Wake the task, cancel it after some turns, check that it ended."""
        await run_loop(3)
        wake()
        await run_loop(turns)
        task.cancel()
        await run_loop(10)
        done = task.done()
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
        self.assertTrue(done, f'still runs, cancelled after {turns} turns')

    async def test_watch_of_the_directory(self) -> None:
        for turns in TURNS:
            keeper = await start_keeper()
            task = asyncio.create_task(self.follow(keeper))
            await self.assert_cancelled(
                task, partial(keeper.record, ANNOUNCEMENT), turns
            )

    async def test_confirmations_of_an_entry(self) -> None:
        for turns in TURNS:
            follower = ConfigurationFollower('c', 'e-1', (), mock.Mock())
            task = asyncio.create_task(self.wait_repeatedly(follower))
            await self.assert_cancelled(task, follower._changed.set, turns)

    async def test_read_of_the_state(self) -> None:
        for turns in TURNS:
            questions = PendingRequests()
            task = asyncio.create_task(self.read_repeatedly(questions))
            await self.assert_cancelled(
                task, partial(questions.complete_reads, 1), turns
            )

    async def follow(self, keeper: DirectoryApi) -> None:
        async for _ in keeper.watch(DirectoryRequest('e-1')):
            await asyncio.sleep(0)

    async def wait_repeatedly(self, follower: ConfigurationFollower) -> None:
        while True:
            await follower.wait_newer(0, 60)
            follower._changed.clear()

    async def read_repeatedly(self, questions: PendingRequests) -> None:
        while True:
            await questions.wait(1, 0, 60)


if __name__ == '__main__':
    unittest.main()
