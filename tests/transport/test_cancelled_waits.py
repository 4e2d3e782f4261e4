"""A cancellation that meets news ends the task, at whatever turn it comes."""

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
from snipebend.transport.control_api import ConfigurationApi
from snipebend.transport.directory_api import DirectoryApi
from snipebend.transport.configuration_follower import ConfigurationFollower
from snipebend.transport.pending_requests import PendingRequests
from snipebend.transport.rpc_server import RpcServer

#: Turns of the loop between the news and the cancellation.
TURNS = range(5)
NEWS = Announcement('u-1', 'p', 'dc', 'h:1', 'g:1', 1, 1)


async def turn(times: int) -> None:
    """Let the loop go round."""
    for _ in range(times):
        await asyncio.sleep(0)


async def start_keeper() -> DirectoryApi:
    """Return a directory that is ready for watchers."""
    keeper = DirectoryApi('directory', RpcServer('grpc', '127.0.0.1', 0))
    configuration = mock.create_autospec(ConfigurationApi, instance=True)
    configuration.name = 'configuration'
    configuration.revision = 1
    registry = Registry(SystemClock(), TaskSupervisor())
    registry.register(configuration)
    await keeper.start(registry)
    return keeper


class CancelledWaitsTest(unittest.IsolatedAsyncioTestCase):
    """The task must have ended some turns after the cancellation."""

    async def check_ends(self, task, news, turns: int) -> None:
        """Give the news, cancel after some turns, look whether it ended."""
        await turn(3)
        news()
        await turn(turns)
        task.cancel()
        await turn(10)
        done = task.done()
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
        self.assertTrue(done, f'still runs, cancelled after {turns} turns')

    async def test_watch_of_the_directory(self) -> None:
        for turns in TURNS:
            keeper = await start_keeper()
            task = asyncio.create_task(self.follow(keeper))
            await self.check_ends(task, partial(keeper.record, NEWS), turns)

    async def test_confirmations_of_an_entry(self) -> None:
        for turns in TURNS:
            follower = ConfigurationFollower('c', 'e-1', (), mock.Mock())
            task = asyncio.create_task(self.wait_for_ever(follower))
            await self.check_ends(task, follower._changed.set, turns)

    async def test_read_of_the_state(self) -> None:
        for turns in TURNS:
            questions = PendingRequests()
            task = asyncio.create_task(self.read_for_ever(questions))
            await self.check_ends(
                task, partial(questions.complete_reads, 1), turns
            )

    async def follow(self, keeper: DirectoryApi) -> None:
        async for _ in keeper.watch(DirectoryRequest('e-1')):
            await asyncio.sleep(0)

    async def wait_for_ever(self, follower: ConfigurationFollower) -> None:
        while True:
            await follower.wait_newer(0, 60)
            follower._changed.clear()

    async def read_for_ever(self, questions: PendingRequests) -> None:
        while True:
            await questions.wait(1, 0, 60)


if __name__ == '__main__':
    unittest.main()
