"""Ensures that a faulty rank does not hide or delay other groups.

A rank can stop responding, be replaced under the same number, or change groups.
Other groups must not wait for it, and a snapshot must not outlive a rank that
was removed.
"""

from __future__ import annotations

import asyncio
import unittest

from snipebend.experts.direct_orders import RankReport
from snipebend.state.roster import UpstreamRecord
from snipebend.balancing.group_observer import (
    QUERY_RETRY_S,
    GroupObserver,
    GroupKey,
)

G = GroupKey('s', 'g')
H = GroupKey('s', 'h')


class Clock:
    """A clock set by the test."""

    def __init__(self):
        self.at = 50.0

    def now(self):
        return self.at


class Link:
    """Engines that return the reports set by the test, or never respond."""

    def __init__(self):
        self.current_reports = {}
        self.unresponsive = set()
        self.queried = []

    def set_report(
        self, identity, rank, group='g', epoch=1, size=2, *, is_open=True
    ):
        self.current_reports[identity] = RankReport(
            identity, group, epoch, rank, size, is_open, step=5, map_version=0
        )

    async def read_report(self, upstream):
        self.queried.append(upstream.identity)
        if upstream.identity in self.unresponsive:
            await asyncio.Event().wait()
        return self.current_reports.get(upstream.identity)


def members(*identities):
    return {
        one: UpstreamRecord(one, 's', f'10.0.0.{at}:80', 'dc', 4)
        for at, one in enumerate(identities)
    }


class TestGroupObserver(unittest.IsolatedAsyncioTestCase):
    """Observation of two groups of one service."""

    async def asyncSetUp(self):
        self.clock = Clock()
        self.link = Link()
        self.observer = GroupObserver(self.link, self.clock)
        self.members = members('a', 'b', 'c', 'd')
        self.link.set_report('a', 0)
        self.link.set_report('b', 1)
        self.link.set_report('c', 0, 'h')
        self.link.set_report('d', 1, 'h')
        await self.observer.survey('s', self.members)

    async def observe(self, key):
        async with asyncio.timeout(5):
            return await self.observer.observe(key, self.members)

    async def test_each_group_is_observed(self):
        found = await self.observer.survey('s', self.members)
        self.assertEqual(found, {'g', 'h'})
        self.assertEqual((await self.observe(G)).identities, ('a', 'b'))
        self.assertEqual((await self.observe(H)).identities, ('c', 'd'))

    async def test_unresponsive_rank_does_not_delay_other_groups(self):
        self.link.unresponsive.add('c')
        self.assertEqual((await self.observe(G)).identities, ('a', 'b'))
        self.assertNotIn('c', self.link.queried[4:])

    async def test_broken_group_does_not_affect_the_other(self):
        self.link.set_report('d', 1, 'h', is_open=False)
        self.assertIsNone(await self.observe(H))
        self.assertTrue(self.observer.is_broken(H))
        self.assertIsNotNone(await self.observe(G))
        self.assertFalse(self.observer.is_broken(G))

    async def test_replaced_rank_is_no_longer_queried(self):
        """The old rank is unresponsive, and another rank has its number."""
        self.link.unresponsive.add('b')
        self.link.set_report('e', 1, epoch=2)
        self.link.set_report('a', 0, epoch=2)
        self.members |= members('e')
        await self.observer.survey('s', self.members)
        snapshot = await self.observe(G)
        self.assertEqual(snapshot.identities, ('a', 'e'))
        self.assertEqual(self.observer.members(G), {'a', 'e'})

    async def test_groups_that_exchange_a_rank(self):
        self.link.set_report('b', 0, 'h', epoch=2)
        self.link.set_report('c', 1, 'g', epoch=2)
        self.link.set_report('a', 0, 'g', epoch=2)
        self.link.set_report('d', 1, 'h', epoch=2)
        for _ in range(2):
            await self.observe(G)
            await self.observe(H)
            self.clock.at += QUERY_RETRY_S
            await self.observer.survey('s', self.members)
        self.assertEqual((await self.observe(G)).identities, ('a', 'c'))
        self.assertEqual((await self.observe(H)).identities, ('b', 'd'))

    async def test_ungrouped_replica_is_queried_at_intervals(self):
        self.members |= members('lone')
        await self.observer.survey('s', self.members)
        asked = self.link.queried.count('lone')
        await self.observer.survey('s', self.members)
        self.assertEqual(self.link.queried.count('lone'), asked)
        self.clock.at += QUERY_RETRY_S
        await self.observer.survey('s', self.members)
        self.assertEqual(self.link.queried.count('lone'), asked + 1)
        self.assertEqual((await self.observe(G)).identities, ('a', 'b'))

    async def test_snapshot_is_discarded_with_a_removed_rank(self):
        await self.observe(G)
        asked = len(self.link.queried)
        await self.observe(G)
        self.assertEqual(len(self.link.queried), asked)
        self.members.pop('b')
        self.assertIsNone(await self.observe(G))
