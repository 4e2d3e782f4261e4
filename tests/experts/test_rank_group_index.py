"""No order may go to a group whose members are not known for certain.

Ranks report their group one after the other. When a group is re-formed, or two
groups exchange a rank, a removed rank still reports the old epoch, and two
ranks can report the same number.
"""

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


class TestCompleteGroup(unittest.TestCase):
    """Orders are only sent to groups whose reports are complete."""

    def test_all_ranks_of_one_epoch(self):
        ranks = find_complete_group('g', [report('a', 0), report('b', 1)])
        self.assertEqual([ranks[0].identity, ranks[1].identity], ['a', 'b'])

    def test_groups_of_one_service_may_differ_in_size(self):
        reports = [
            report('a', 0),
            report('b', 1),
            report('c', 0, 'h', size=1),
        ]
        self.assertEqual(set(find_complete_group('g', reports)), {0, 1})
        self.assertEqual(set(find_complete_group('h', reports)), {0})

    def test_rank_is_missing_or_not_operational(self):
        self.assertIsNone(find_complete_group('g', [report('a', 0)]))
        still = report('b', 1, is_open=False)
        self.assertIsNone(find_complete_group('g', [report('a', 0), still]))
        self.assertIsNone(find_complete_group('g', []))

    def test_two_ranks_under_one_number(self):
        reports = [report('a', 0), report('b', 1), report('c', 1)]
        self.assertIsNone(find_complete_group('g', reports))

    def test_re_formed_group_with_another_member(self):
        """A rank that was removed still reports the old epoch."""
        late = report('a', 0)
        new = [report('b', 1, epoch=2), report('c', 0, epoch=2)]
        ranks = find_complete_group('g', [late, *new])
        self.assertEqual(ranks[0].identity, 'c')
        self.assertIsNone(find_complete_group('g', [late, new[0]]))

    def test_rank_numbers_beyond_group_size(self):
        reports = [report('a', 0), report('b', 2)]
        self.assertIsNone(find_complete_group('g', reports))

    def test_sizes_that_differ(self):
        reports = [report('a', 0), report('b', 1, size=3)]
        self.assertIsNone(find_complete_group('g', reports))


class TestRankGroupIndex(unittest.TestCase):
    """The last report of a rank determines its group."""

    def test_two_groups_exchange_a_rank(self):
        index = RankGroupIndex()
        for reports in (report('a', 0), report('b', 1), report('c', 0, 'h')):
            index.record(reports)
        self.assertEqual(index.groups, {'g', 'h'})
        index.record(report('b', 0, 'h', epoch=2))
        index.record(report('c', 1, 'g', epoch=2))
        self.assertEqual(index.members('g'), {'a', 'c'})
        self.assertEqual(index.members('h'), {'b'})

    def test_removed_rank(self):
        index = RankGroupIndex()
        index.record(report('a', 0))
        index.record(report('b', 0, 'h'))
        index.retain(['a'])
        self.assertEqual(index.groups, {'g'})
        index.drop('a')
        self.assertFalse(index.is_known('a'))
        self.assertEqual(index.groups, set())
