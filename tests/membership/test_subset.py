"""Guards against upstreams that few entries use, and against churn.

Each entry chooses its subset independently. An uneven choice overloads some
upstreams and leaves others idle, and a choice that depends on the complete list
would change every subset when one upstream is removed.
"""

from __future__ import annotations

from unittest import TestCase

from snipebend.membership.subset import (
    choose_subset,
    count_watchers,
    subset_size,
)


class SubsetTest(TestCase):
    """Subsets are bounded, evenly spread and stable."""

    def test_small_fleets_are_watched_completely(self) -> None:
        """All of 16 replicas are in every entry's subset."""
        names = [f'u{number}' for number in range(16)]
        self.assertEqual(choose_subset('e', 1100, names), frozenset(names))

    def test_even_at_the_target_size(self) -> None:
        """One of 32 models: 375 replicas and 1,100 entries."""
        names = [f'u{number}' for number in range(375)]
        entries = [f'e{number}' for number in range(1100)]
        size = subset_size(len(entries), len(names))
        self.assertLessEqual(size, 20)
        watchers = count_watchers(entries, names).values()
        mean = sum(watchers) / len(names)
        self.assertGreater(min(watchers), mean / 2)
        self.assertLess(max(watchers), mean * 1.6)

    def test_one_removal_changes_one_member(self) -> None:
        """A removed upstream is replaced; the others stay in the subset."""
        names = [f'u{number}' for number in range(400)]
        before = choose_subset('e', 1100, names)
        removed = min(before)
        after = choose_subset(
            'e', 1100, [name for name in names if name != removed]
        )
        self.assertEqual(len(before - after), 1)
