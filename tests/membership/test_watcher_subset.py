"""Subsets must respect their bound, cover all upstreams and cost little.

Control selects a subset for each watcher as entries and upstreams join and
leave. An upstream that is leaving must be replaced but still be sent. Selecting
from every pool at each change, or at each load report, would cost too much.
"""

from __future__ import annotations

import unittest
from unittest import mock

from snipebend.membership import watcher_subset
from snipebend.membership.directory import UpstreamDirectory
from snipebend.membership.messages import (
    Announcement,
    DirectoryRequest,
    Phase,
)
from snipebend.membership.watcher_subset import WatcherSubset, group_pools

BOUND = 256


def members(count, policies=1, leaving=()) -> tuple[Announcement, ...]:
    """Return upstreams, spread evenly over the policies."""
    return tuple(
        Announcement(
            f'u-{number}',
            f'p-{number % policies}',
            'dc',
            'h:1',
            'g:1',
            incarnation=1,
            sequence=1,
            phase=Phase.LEAVING if number in leaving else Phase.SERVING,
        )
        for number in range(count)
    )


def watch(entry: str) -> WatcherSubset:
    """Return the subset of one watcher."""
    return WatcherSubset(DirectoryRequest(entry, max_upstreams=BOUND))


class WatcherSubsetTest(unittest.TestCase):
    """The subsets of one watcher, and of many together."""

    def test_small_pools_are_sent_completely(self) -> None:
        pools = group_pools(members(19), {})
        for entries in (0, 1, 4, 1100):
            names = watch('e-1').select(pools, entries)
            self.assertEqual(len(names), 19)

    def test_bound_holds_and_every_upstream_has_watchers(self) -> None:
        pools = group_pools(members(1714), {})
        watchers = dict.fromkeys(pools['p-0'].serving, 0)
        for number in range(157):
            names = watch(f'e-{number}').select(pools, 157)
            self.assertEqual(len(set(names)), BOUND)
            for name in names:
                watchers[name] += 1
        self.assertGreaterEqual(min(watchers.values()), 5)

    def test_leaving_upstream_is_sent_and_replaced(self) -> None:
        subset = watch('e-1')
        before = set(subset.select(group_pools(members(400), {}), 1100))
        leaving_name = min(before)
        listed = members(400, leaving={int(leaving_name[2:])})
        after = set(subset.select(group_pools(listed, {}), 1100))
        self.assertLess(before, after)
        self.assertEqual(len(after - before), 1)

    def test_only_a_changed_pool_is_selected_again(self) -> None:
        choose = watcher_subset.choose_subset
        subset = watch('e-1')
        pools = group_pools(members(300, policies=4), {})
        subset.select(pools, 1000)
        with mock.patch.object(
            watcher_subset, 'choose_subset', wraps=choose
        ) as spy:
            subset.select(pools, 1001)
            spy.assert_not_called()
            changed = group_pools(members(301, policies=4), pools)
            subset.select(changed, 1001)
            self.assertEqual(spy.call_count, 1)
            subset.select(changed, 500)
            self.assertEqual(spy.call_count, 5)

    def test_version_counts_members_not_loads(self) -> None:
        directory = UpstreamDirectory()
        self.assertTrue(directory.record(*members(1), 0))
        first = directory.version
        again = Announcement('u-0', 'p-0', 'dc', 'h:1', 'g:1', 1, 2, running=9)
        directory.record(again, 1)
        self.assertEqual(directory.version, first)
        directory.expire(60)
        self.assertGreater(directory.version, first)
        self.assertEqual(directory.select(('u-0',), 60), ())


if __name__ == '__main__':
    unittest.main()
