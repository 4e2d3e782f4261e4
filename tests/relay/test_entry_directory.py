"""Entries must not disappear from the directory while a daemon lists them.

Each control daemon lists the entries that are connected to it. A daemon that is
cut off from an entry doesn't list it, and daemons of earlier versions send no
data centres. Entries that no daemon lists must be removed.
"""

from __future__ import annotations

import unittest

from snipebend.relay.entry_directory import (
    MEMBER_RETENTION_S,
    EntryDirectory,
    FleetMembers,
)


class TestEntryDirectory(unittest.TestCase):
    """An entry that one daemon doesn't list may be listed by another."""

    def test_disconnected_daemon_hides_no_entry(self):
        directory = EntryDirectory()
        directory.update('a', ('e:1', 'e:2', 'e:3'), ('x', 'y', 'y'))
        directory.update('b', ('e:1',), ('x',))
        self.assertEqual(
            directory.merge_data_centers(), {'e:1': 'x', 'e:2': 'y', 'e:3': 'y'}
        )

    def test_entry_that_no_daemon_lists_is_removed(self):
        directory = EntryDirectory()
        for daemon in ('a', 'b'):
            directory.update(daemon, ('e:1', 'e:2'), ('x', 'y'))
        directory.update('a', ('e:1',), ('x',))
        self.assertIn('e:2', directory.merge_data_centers())
        directory.update('b', ('e:1',), ('x',))
        self.assertEqual(directory.merge_data_centers(), {'e:1': 'x'})

    def test_list_of_lost_daemon_is_removed(self):
        directory = EntryDirectory()
        directory.update('a', ('e:1',), ('x',))
        directory.update('b', ('e:2',), ('y',))
        directory.remove_daemon('a')
        self.assertEqual(directory.merge_data_centers(), {'e:2': 'y'})

    def test_earlier_versions_send_no_data_centers(self):
        directory = EntryDirectory()
        directory.update('a', ('e:1',), ('x',))
        directory.update('b', ('e:1', 'e:2'), ())
        self.assertEqual(
            directory.merge_data_centers(), {'e:1': 'x', 'e:2': ''}
        )


class TestFleetMembers(unittest.TestCase):
    """Entries that are cut off share the fleet's limits until they expire."""

    def test_unlisted_entry_counts_until_it_expires(self):
        fleet = FleetMembers()
        fleet.record(('e:1', 'e:2', 'e:3'), 0)
        # The list didn't change for longer than entries are retained.
        unlisted_at = 2 * MEMBER_RETENTION_S
        fleet.record(('e:1',), unlisted_at)
        expires_at = unlisted_at + MEMBER_RETENTION_S
        self.assertEqual(fleet.count(expires_at - 1), 3)
        self.assertEqual(fleet.count(expires_at), 1)


if __name__ == '__main__':
    unittest.main()
