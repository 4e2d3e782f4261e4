"""The directory's watch with a bounded subset, by the feeds that are open."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import AsyncIterator
from contextlib import aclosing, suppress

from snipebend.membership.directory_delta import DirectoryCopy
from snipebend.membership.messages import Announcement, DirectoryRequest
from snipebend.transport.directory_api import DirectoryApi
from tests.transport.test_cancelled_waits import start_keeper, turn

UPSTREAMS = 400


class DirectoryWatchTest(unittest.IsolatedAsyncioTestCase):
    """Entries count while they feed their confirmations."""

    async def asyncSetUp(self) -> None:
        self.keeper = await start_keeper()
        for number in range(UPSTREAMS):
            self.keeper.record(
                Announcement(f'u-{number}', 'p', 'dc', 'h:1', 'g:1', 1, 1)
            )
        self.tasks: list[asyncio.Task[object]] = []

    async def test_more_entries_make_smaller_subsets(self) -> None:
        bound = DirectoryRequest('e-1', max_upstreams=256)
        whole = DirectoryRequest('')
        self.assertEqual(await self.shown(bound), 256)
        self.assertEqual(await self.shown(whole), UPSTREAMS)
        for number in range(128):
            feed = self.keeper.confirm(self.confirm(f'e-{number}'))
            self.tasks.append(asyncio.create_task(feed))
        await turn(3)
        self.assertEqual(await self.shown(bound), 125)
        self.assertEqual(await self.entries(), 128)
        self.assertEqual(await self.shown(whole), UPSTREAMS)
        for task in self.tasks:
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task
        self.assertEqual(await self.shown(bound), 256)

    async def entries(self) -> int:
        """Return how many entries a new watcher is told to share with."""
        copy = DirectoryCopy()
        async with aclosing(self.keeper.watch(DirectoryRequest(''))) as watch:
            copy.apply(await anext(watch))
        return copy.entries

    async def test_change_reaches_an_open_watch(self) -> None:
        copy = DirectoryCopy()
        watch = self.keeper.watch(DirectoryRequest('e-1', max_upstreams=20))
        async with aclosing(watch):
            copy.apply(await anext(watch))
            before = {one.upstream for one in copy.upstreams()}
            newer = asyncio.ensure_future(anext(watch))
            number = 0
            while not newer.done():
                number += 1
                self.record_new(self.keeper, number)
                await turn(3)
            copy.apply(newer.result())
        after = {one.upstream for one in copy.upstreams()}
        self.assertEqual((len(before), len(after)), (20, 20))
        self.assertNotEqual(before, after)

    def record_new(self, keeper: DirectoryApi, number: int) -> None:
        """Add an upstream that wasn't there before."""
        keeper.record(
            Announcement(f'n-{number}', 'p', 'dc', 'h:1', 'g:1', 1, 1)
        )

    async def shown(self, req: DirectoryRequest) -> int:
        """Return how many upstreams a new watch begins with."""
        watch = self.keeper.watch(req)
        async with aclosing(watch):
            return len((await anext(watch)).joined)

    async def confirm(self, name: str) -> AsyncIterator[DirectoryRequest]:
        yield DirectoryRequest(name, 1)
        await asyncio.Event().wait()


if __name__ == '__main__':
    unittest.main()
