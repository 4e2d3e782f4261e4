"""A watch limited to a subset must follow the entries and the upstreams.

Entries open and close their confirmation feeds while watches are open; the size
of a subset depends on their number. Upstreams that join must reach a watch that
is already open.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import AsyncIterator
from contextlib import aclosing, suppress

from snipebend.membership.directory_delta import DirectoryCopy
from snipebend.membership.messages import Announcement, DirectoryRequest
from snipebend.transport.directory_api import DirectoryApi
from tests.transport.test_cancelled_waits import run_loop, start_keeper

UPSTREAMS = 400


class DirectoryWatchTest(unittest.IsolatedAsyncioTestCase):
    """Entries count while their confirmation feeds are open."""

    async def asyncSetUp(self) -> None:
        self.keeper = await start_keeper()
        for number in range(UPSTREAMS):
            self.keeper.record(
                Announcement(f'u-{number}', 'p', 'dc', 'h:1', 'g:1', 1, 1)
            )
        self.tasks: list[asyncio.Task[object]] = []

    async def test_more_entries_make_smaller_subsets(self) -> None:
        bounded = DirectoryRequest('e-1', max_upstreams=256)
        unbounded = DirectoryRequest('')
        self.assertEqual(await self.subset_size(bounded), 256)
        self.assertEqual(await self.subset_size(unbounded), UPSTREAMS)
        for number in range(128):
            feed = self.keeper.confirm(self.confirm(f'e-{number}'))
            self.tasks.append(asyncio.create_task(feed))
        await run_loop(3)
        self.assertEqual(await self.subset_size(bounded), 125)
        self.assertEqual(await self.entries(), 128)
        self.assertEqual(await self.subset_size(unbounded), UPSTREAMS)
        for task in self.tasks:
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task
        self.assertEqual(await self.subset_size(bounded), 256)

    async def entries(self) -> int:
        """Return the number of entries reported to a new watcher."""
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
                await run_loop(3)
            copy.apply(newer.result())
        after = {one.upstream for one in copy.upstreams()}
        self.assertEqual((len(before), len(after)), (20, 20))
        self.assertNotEqual(before, after)

    def record_new(self, keeper: DirectoryApi, number: int) -> None:
        """Add a new upstream to the directory."""
        keeper.record(
            Announcement(f'n-{number}', 'p', 'dc', 'h:1', 'g:1', 1, 1)
        )

    async def subset_size(self, req: DirectoryRequest) -> int:
        """Return the number of upstreams in the first difference."""
        watch = self.keeper.watch(req)
        async with aclosing(watch):
            return len((await anext(watch)).joined)

    async def confirm(self, name: str) -> AsyncIterator[DirectoryRequest]:
        yield DirectoryRequest(name, 1)
        await asyncio.Event().wait()


if __name__ == '__main__':
    unittest.main()
