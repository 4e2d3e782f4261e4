"""Guards against entries that miss records or are removed while they run.

An entry opens a new watch before its old one ends, or loses a watch before it
has the complete roster. Updates must stay small, and entries of an earlier
version must still receive the document and the groups in them.
"""

from __future__ import annotations

import unittest
from contextlib import AsyncExitStack, aclosing

from snipebend.state.host_updates import (
    GroupPhase,
    HostWatchRequest,
    UpstreamGroupStatus,
)
from snipebend.state.roster import RecordRequest, UpstreamRecord
from snipebend.state.warmth import Warmth, WarmthReport, read_hearing
from snipebend.transport import host_service
from tests.edge.document_fixture import Daemon


class TestWatch(unittest.IsolatedAsyncioTestCase):
    """The updates that watches at one control daemon receive."""

    async def asyncSetUp(self):
        stack = await self.enterAsyncContext(AsyncExitStack())
        self.daemon = Daemon()
        await self.daemon.start(stack)
        self.host_service = self.daemon.host_service

    async def first_update(self, *, fetches):
        watch = HostWatchRequest('e', 0, 0, fetches=fetches)
        async with aclosing(self.host_service.watch(watch)) as updates:
            return await anext(updates)

    async def test_updates_hold_a_document_for_earlier_versions_only(self):
        self.daemon.put(4, b'4 body')
        update = await self.first_update(fetches=True)
        self.assertEqual((update.number, update.document), (4, b''))
        update = await self.first_update(fetches=False)
        self.assertEqual((update.number, update.document), (4, b'4 body'))

    def hear(self, cold_ms, number, born=5):
        record = UpstreamRecord('i-1', 's', '10.0.0.9:80', 'dc', 4, born=born)
        self.host_service.warmth.hear(
            record, read_hearing('i-1', born, number, cold_ms)
        )

    async def test_cold_upstreams_are_reported_to_who_wants_to_know(self):
        self.hear(900, 1)
        old = await self.first_update(fetches=True)
        self.assertEqual(old.warmth, ())
        watch = HostWatchRequest('e', 0, 0, wants_warmth=True)
        async with aclosing(self.host_service.watch(watch)) as updates:
            update = await anext(updates)
            self.assertEqual(
                update.warmth, (WarmthReport('i-1', Warmth.COLD, 5, 1),)
            )
            self.hear(0, 2)
            self.hear(0, 3)
            update = await anext(updates)
            self.assertEqual(
                update.warmth, (WarmthReport('i-1', Warmth.WARM, 5, 2),)
            )

    async def test_a_late_heartbeat_of_a_former_lifetime_is_not_heard(self):
        record = UpstreamRecord('i-1', 's', '10.0.0.9:80', 'dc', 4, born=5)
        roster = self.daemon.state.local_machine.state.roster
        roster.record(RecordRequest(record))
        self.hear(0, 9, born=4)
        watch = HostWatchRequest('e', 0, 0, wants_warmth=True)
        async with aclosing(self.host_service.watch(watch)) as updates:
            update = await anext(updates)
        self.assertEqual(update.warmth, ())

    async def test_entries_that_were_cut_off_still_count(self):
        """Others would take their part of the limits of cold upstreams."""
        for number in range(3):
            watch = HostWatchRequest(f'e-{number}', 0, 0, f'10.0.0.{number}:7')
            async with aclosing(self.host_service.watch(watch)) as updates:
                update = await anext(updates)
        self.assertEqual(update.known_entries, 3)

    async def test_the_end_of_an_old_watch_leaves_the_new_one(self):
        """Otherwise other entries drop a running entry and its calls."""
        old = self.host_service.watch(HostWatchRequest('e', 0, 0, '10.0.0.1:7'))
        await anext(old)
        new = self.host_service.watch(HostWatchRequest('e', 0, 0, '10.0.0.1:8'))
        await anext(new)
        await old.aclose()
        third = self.host_service.watch(
            HostWatchRequest('f', 0, 0, '10.0.0.2:7', data_center='dc-b')
        )
        update = await anext(third)
        self.assertEqual(
            dict(zip(update.entries, update.entry_data_centers, strict=True)),
            {'10.0.0.1:8': '', '10.0.0.2:7': 'dc-b'},
        )
        await new.aclose()
        await third.aclose()

    async def test_a_long_roster_is_sent_in_several_updates(self):
        """A watch that ends early must not lose the records it has received."""
        count = 2 * host_service.MAX_RECORDS + 1
        for number in range(count):
            self.daemon.record(f'i-{number}')
        received = set()
        revision = 0
        update_count = 0
        while revision < count:
            watch = HostWatchRequest('e', 0, revision, fetches=True)
            async with aclosing(self.host_service.watch(watch)) as updates:
                update = await anext(updates)
            self.assertLessEqual(
                len(update.upstreams), host_service.MAX_RECORDS
            )
            received |= {one.identity for one in update.upstreams}
            revision = update.roster_revision
            update_count += 1
        self.assertEqual(len(received), count)
        self.assertEqual(update_count, 3)

    async def test_entries_and_groups_are_sent_when_they_change(self):
        """Unchanged groups and entries must not be sent again.

        When each update held all of them, a keep-alive had 17 kB with 1,000
        upstreams and 100 entries.
        """
        status = UpstreamGroupStatus('g', 's', GroupPhase.OPEN, ('i-1', 'i-2'))
        self.host_service.report_group(status)
        watch = HostWatchRequest('e', 0, 0, '10.0.0.1:7', keeps_groups=True)
        async with aclosing(self.host_service.watch(watch)) as updates:
            first = await anext(updates)
            self.assertEqual(first.groups, (status,))
            self.assertEqual(first.entries, ('10.0.0.1:7',))
            self.daemon.record('i-1')
            second = await anext(updates)
            self.assertEqual((second.groups, second.entries), ((), ()))
            self.assertTrue(second.groups_unchanged)
            self.host_service.remove_groups()
            third = await anext(updates)
            self.assertEqual(
                (third.groups, third.groups_unchanged), ((), False)
            )

    async def test_earlier_versions_receive_groups_in_each_update(self):
        status = UpstreamGroupStatus('g', 's', GroupPhase.OPEN, ('i-1', 'i-2'))
        self.host_service.report_group(status)
        watch = HostWatchRequest('e', 0, 0, '10.0.0.1:7')
        async with aclosing(self.host_service.watch(watch)) as updates:
            for number in range(2):
                update = await anext(updates)
                self.assertEqual(update.groups, (status,))
                self.assertFalse(update.groups_unchanged)
                self.daemon.record(f'i-{number}')

    async def test_simultaneous_changes_are_sent_in_one_update(self):
        watch = HostWatchRequest('e', 0, 0, '10.0.0.1:7')
        async with aclosing(self.host_service.watch(watch)) as updates:
            await anext(updates)
            for number in range(50):
                self.daemon.record(f'i-{number}')
            update = await anext(updates)
        self.assertEqual(len(update.upstreams), 50)
