"""Entries as several control daemons tell of them."""

from __future__ import annotations

import unittest

from snipebend.relay.entry_lists import EntryLists


class TestEntryLists(unittest.TestCase):
    """What one daemon doesn't know, another one may."""

    def test_a_daemon_that_is_cut_off_hides_nobody(self):
        lists = EntryLists()
        lists.take('a', ('e:1', 'e:2', 'e:3'), ('x', 'y', 'y'))
        lists.take('b', ('e:1',), ('x',))
        self.assertEqual(lists.places(), {'e:1': 'x', 'e:2': 'y', 'e:3': 'y'})

    def test_an_entry_that_no_daemon_names_is_gone(self):
        lists = EntryLists()
        for daemon in ('a', 'b'):
            lists.take(daemon, ('e:1', 'e:2'), ('x', 'y'))
        lists.take('a', ('e:1',), ('x',))
        self.assertIn('e:2', lists.places())
        lists.take('b', ('e:1',), ('x',))
        self.assertEqual(lists.places(), {'e:1': 'x'})

    def test_a_lost_daemon_tells_nothing_any_more(self):
        lists = EntryLists()
        lists.take('a', ('e:1',), ('x',))
        lists.take('b', ('e:2',), ('y',))
        lists.drop('a')
        self.assertEqual(lists.places(), {'e:2': 'y'})

    def test_earlier_versions_tell_no_places(self):
        lists = EntryLists()
        lists.take('a', ('e:1',), ('x',))
        lists.take('b', ('e:1', 'e:2'), ())
        self.assertEqual(lists.places(), {'e:1': 'x', 'e:2': ''})


if __name__ == '__main__':
    unittest.main()
