"""Subsets of upstreams and batches of load reports."""

from __future__ import annotations

from unittest import TestCase

from snipebend.membership.directory import Member
from snipebend.membership.load_reports import LoadAggregator
from snipebend.membership.messages import Announcement, Phase
from snipebend.membership.subset import (
    choose_subset,
    count_watchers,
    subset_size,
)


def member(name: str, running: int, phase: Phase = Phase.SERVING) -> Member:
    """Return a member with some load."""
    announcement = Announcement(
        name, 'p', 'a', 'h', 'g', 1, 1, phase, running=running
    )
    return Member(announcement, 0, 0)


class SubsetTest(TestCase):
    """Bounded, even and stable."""

    def test_small_fleets_are_watched_whole(self) -> None:
        """Today's 16 replicas are in every entry's subset."""
        names = [f'u{number}' for number in range(16)]
        self.assertEqual(choose_subset('e', 1100, names), frozenset(names))

    def test_even_at_the_target_size(self) -> None:
        """One of 32 models: 375 replicas before 1,100 entries."""
        names = [f'u{number}' for number in range(375)]
        entries = [f'e{number}' for number in range(1100)]
        size = subset_size(len(entries), len(names))
        self.assertLessEqual(size, 20)
        watchers = count_watchers(entries, names).values()
        mean = sum(watchers) / len(names)
        self.assertGreater(min(watchers), mean / 2)
        self.assertLess(max(watchers), mean * 1.6)

    def test_one_loss_moves_one_place(self) -> None:
        """An upstream that is gone is replaced, the others stay."""
        names = [f'u{number}' for number in range(400)]
        before = choose_subset('e', 1100, names)
        lost = min(before)
        after = choose_subset(
            'e', 1100, [name for name in names if name != lost]
        )
        self.assertEqual(len(before - after), 1)


class LoadAggregatorTest(TestCase):
    """Only what changed is told, and all of it in the end."""

    def test_follows_with_few_lines(self) -> None:
        """A watcher that applies the batches is never far off for long."""
        aggregator = LoadAggregator()
        told: dict[str, int] = {}
        lines = 0
        for step in range(64):
            members = [
                member(f'u{number}', 20 + (step % 3) * (number == 7))
                for number in range(100)
            ]
            batch = aggregator.batch(members, 0)
            lines += len(batch.loads)
            told.update((line.upstream, line.running) for line in batch.loads)
            self.assertEqual(len(told), 100)
            self.assertLessEqual(abs(told['u7'] - (20 + step % 3)), 2)
        self.assertLess(lines, 100 + 64 * 8)

    def test_tells_who_leaves(self) -> None:
        """A leaving upstream is told as gone, once."""
        aggregator = LoadAggregator()
        aggregator.batch([member('u', 1)], 0)
        leaving = [member('u', 1, Phase.LEAVING)]
        self.assertEqual(aggregator.batch(leaving, 0).gone, ('u',))
        self.assertEqual(aggregator.batch(leaving, 0).gone, ())
