"""What a control daemon tells its watchers."""

from __future__ import annotations

import unittest
from contextlib import AsyncExitStack, aclosing

from snipebend.state.host_updates import (
    GroupPhase,
    HostWatchRequest,
    UpstreamGroupStatus,
)
from snipebend.transport import host_keeper
from tests.edge.document_fixture import Daemon


class TestWatch(unittest.IsolatedAsyncioTestCase):
    """One daemon, whose watches are read here."""

    async def asyncSetUp(self):
        stack = await self.enterAsyncContext(AsyncExitStack())
        self.daemon = Daemon()
        await self.daemon.start(stack)
        self.keeper = self.daemon.keeper

    async def first_news(self, *, fetches):
        watch = HostWatchRequest('e', 0, 0, fetches=fetches)
        async with aclosing(self.keeper.watch(watch)) as news:
            return await anext(news)

    async def test_news_hold_a_document_for_earlier_versions_only(self):
        self.daemon.put(4, b'4 body')
        told = await self.first_news(fetches=True)
        self.assertEqual((told.number, told.document), (4, b''))
        told = await self.first_news(fetches=False)
        self.assertEqual((told.number, told.document), (4, b'4 body'))

    async def test_the_end_of_an_old_watch_leaves_the_new_one(self):
        """Else the others forget an entry that lives, and its calls."""
        old = self.keeper.watch(HostWatchRequest('e', 0, 0, '10.0.0.1:7'))
        await anext(old)
        new = self.keeper.watch(HostWatchRequest('e', 0, 0, '10.0.0.1:8'))
        await anext(new)
        await old.aclose()
        third = self.keeper.watch(
            HostWatchRequest('f', 0, 0, '10.0.0.2:7', data_center='dc-b')
        )
        told = await anext(third)
        self.assertEqual(
            dict(zip(told.entries, told.entry_data_centers, strict=True)),
            {'10.0.0.1:8': '', '10.0.0.2:7': 'dc-b'},
        )
        await new.aclose()
        await third.aclose()

    async def test_a_long_roster_comes_in_pieces_that_add_up(self):
        """What a watch brought stays when it ends before the roster does."""
        count = 2 * host_keeper.MOST_RECORDS + 1
        for number in range(count):
            self.daemon.record(f'i-{number}')
        seen = set()
        revision = 0
        pieces = 0
        while revision < count:
            watch = HostWatchRequest('e', 0, revision, fetches=True)
            async with aclosing(self.keeper.watch(watch)) as news:
                told = await anext(news)
            self.assertLessEqual(len(told.upstreams), host_keeper.MOST_RECORDS)
            seen |= {one.identity for one in told.upstreams}
            revision = told.roster_revision
            pieces += 1
        self.assertEqual(len(seen), count)
        self.assertEqual(pieces, 3)

    async def test_entries_and_groups_are_told_when_they_change(self):
        """Each message held all ranks of all groups, and all entries.

        With 1,000 upstreams and 100 entries that made 17 kB of a sign of life.
        """
        standing = UpstreamGroupStatus(
            'g', 's', GroupPhase.OPEN, ('i-1', 'i-2')
        )
        self.keeper.tell_group(standing)
        watch = HostWatchRequest('e', 0, 0, '10.0.0.1:7', keeps_groups=True)
        async with aclosing(self.keeper.watch(watch)) as news:
            first = await anext(news)
            self.assertEqual(first.groups, (standing,))
            self.assertEqual(first.entries, ('10.0.0.1:7',))
            self.daemon.record('i-1')
            second = await anext(news)
            self.assertEqual((second.groups, second.entries), ((), ()))
            self.assertTrue(second.groups_unchanged)
            self.keeper.forget_groups()
            third = await anext(news)
            self.assertEqual(
                (third.groups, third.groups_unchanged), ((), False)
            )

    async def test_earlier_versions_are_told_of_groups_each_time(self):
        standing = UpstreamGroupStatus(
            'g', 's', GroupPhase.OPEN, ('i-1', 'i-2')
        )
        self.keeper.tell_group(standing)
        watch = HostWatchRequest('e', 0, 0, '10.0.0.1:7')
        async with aclosing(self.keeper.watch(watch)) as news:
            for number in range(2):
                told = await anext(news)
                self.assertEqual(told.groups, (standing,))
                self.assertFalse(told.groups_unchanged)
                self.daemon.record(f'i-{number}')

    async def test_changes_that_come_together_are_told_together(self):
        watch = HostWatchRequest('e', 0, 0, '10.0.0.1:7')
        async with aclosing(self.keeper.watch(watch)) as news:
            await anext(news)
            for number in range(50):
                self.daemon.record(f'i-{number}')
            told = await anext(news)
        self.assertEqual(len(told.upstreams), 50)
