"""Which ranks form a group, by what they say."""

from __future__ import annotations

import unittest

from snipebend.experts.direct_orders import RankReport
from snipebend.experts.rank_group_index import (
    RankGroupIndex,
    find_complete_group,
)


def report(identity, rank, group='g', epoch=1, size=2, *, is_open=True):
    return RankReport(
        identity, group, epoch, rank, size, is_open, step=5, map_version=0
    )


class TestWholeGroup(unittest.TestCase):
    """Orders go to groups only that are seen whole."""

    def test_all_ranks_of_one_epoch(self):
        ranks = find_complete_group('g', [report('a', 0), report('b', 1)])
        self.assertEqual([ranks[0].identity, ranks[1].identity], ['a', 'b'])

    def test_groups_of_one_service_may_differ_in_size(self):
        said = [
            report('a', 0),
            report('b', 1),
            report('c', 0, 'h', size=1),
        ]
        self.assertEqual(set(find_complete_group('g', said)), {0, 1})
        self.assertEqual(set(find_complete_group('h', said)), {0})

    def test_a_rank_is_missing_or_stands_still(self):
        self.assertIsNone(find_complete_group('g', [report('a', 0)]))
        still = report('b', 1, is_open=False)
        self.assertIsNone(find_complete_group('g', [report('a', 0), still]))
        self.assertIsNone(find_complete_group('g', []))

    def test_two_ranks_under_one_number(self):
        said = [report('a', 0), report('b', 1), report('c', 1)]
        self.assertIsNone(find_complete_group('g', said))

    def test_a_group_formed_anew_with_another_member(self):
        """A rank that was left out still says the old epoch."""
        late = report('a', 0)
        new = [report('b', 1, epoch=2), report('c', 0, epoch=2)]
        ranks = find_complete_group('g', [late, *new])
        self.assertEqual(ranks[0].identity, 'c')
        self.assertIsNone(find_complete_group('g', [late, new[0]]))

    def test_numbers_beyond_the_size(self):
        said = [report('a', 0), report('b', 2)]
        self.assertIsNone(find_complete_group('g', said))

    def test_sizes_that_differ(self):
        said = [report('a', 0), report('b', 1, size=3)]
        self.assertIsNone(find_complete_group('g', said))


class TestGroupRoll(unittest.TestCase):
    """The last word of a rank counts."""

    def test_two_groups_exchange_a_rank(self):
        index = RankGroupIndex()
        for said in (report('a', 0), report('b', 1), report('c', 0, 'h')):
            index.note(said)
        self.assertEqual(index.groups, {'g', 'h'})
        index.note(report('b', 0, 'h', epoch=2))
        index.note(report('c', 1, 'g', epoch=2))
        self.assertEqual(index.members('g'), {'a', 'c'})
        self.assertEqual(index.members('h'), {'b'})

    def test_a_rank_that_is_gone(self):
        index = RankGroupIndex()
        index.note(report('a', 0))
        index.note(report('b', 0, 'h'))
        index.keep(['a'])
        self.assertEqual(index.groups, {'g'})
        index.drop('a')
        self.assertFalse(index.is_known('a'))
        self.assertEqual(index.groups, set())
