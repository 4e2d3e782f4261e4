"""Bounds that hold however calls are mixed: ejection, budget, limit."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from snipebend.routing.concurrency import AdaptiveLimit
from snipebend.routing.ejection import Ejector
from snipebend.routing.retry_budget import (
    RESERVE,
    TRICKLE_PER_S,
    RetryBudget,
    savings_of_one,
)

_NAMES = ('a', 'b', 'c', 'd', 'e')


class EjectorTest(TestCase):
    """Ejection never takes the fleet away, and always ends by a probe."""

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(('fail', 'serve', 'probe', 'watch', 'slow')),
                st.sampled_from(_NAMES),
                st.integers(1, 5),
            )
        )
    )
    def test_at_most_half_are_out(
        self, steps: list[tuple[str, str, int]]
    ) -> None:
        ejector = Ejector()
        watched = _NAMES
        ejector.watch(watched)
        for now, (action, name, count) in enumerate(steps):
            match action:
                case 'fail':
                    ejector.failed(name, now, 2, 5)
                case 'serve':
                    ejector.served(name)
                case 'probe':
                    ejector.start_probe(name)
                case 'watch':
                    watched = _NAMES[:count]
                    ejector.watch(watched)
                case _:
                    latencies = dict.fromkeys(watched, 1.0)
                    ejector.eject_stragglers(latencies | {name: 9}, now, 5)
            self.assertLessEqual(len(ejector.ejected), len(watched) // 2)

    def test_comes_back_by_one_probe(self) -> None:
        ejector = Ejector()
        ejector.watch(_NAMES)
        for _ in range(3):
            ejector.failed('a', 0, 3, 5)
        self.assertEqual(ejector.standing('a', 4), 'out')
        self.assertEqual(ejector.standing('a', 5), 'probe')
        ejector.start_probe('a')
        self.assertEqual(ejector.standing('a', 5), 'out')
        ejector.failed('a', 6, 3, 5)
        self.assertEqual(ejector.standing('a', 15), 'out')
        self.assertEqual(ejector.standing('a', 16), 'probe')
        ejector.start_probe('a')
        self.assertTrue(ejector.served('a'))
        self.assertEqual(ejector.standing('a', 16), 'in')


def _full_budget(slack: float, entries: int) -> RetryBudget:
    budget = RetryBudget(0.2)
    budget.take_savings(savings_of_one(slack, entries))
    for _ in range(1000):
        budget.note_request()
    return budget


class RetryBudgetTest(TestCase):
    """Retries stay a small share of requests."""

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.one_of(st.none(), st.floats(0, 5))))
    def test_bound(self, steps: list[float | None]) -> None:
        budget = RetryBudget(0.1)
        now = 0.0
        for pause in steps:
            if pause is None:
                budget.note_request()
                continue
            now += pause
            budget.take(now)
            earned = 0.1 * budget.requests + TRICKLE_PER_S * now
            self.assertLessEqual(budget.granted, RESERVE + earned + 1e-6)

    def test_all_entries_together_keep_to_the_slack(self) -> None:
        """Also with all that they saved, in the 10 s of an outage."""
        for entries, slack, requests in ((5, 94, 400), (14, 124, 1691)):
            budgets = [_full_budget(slack, entries) for _ in range(entries)]
            granted = 0
            for tick in range(requests):
                mine = budgets[tick % entries]
                mine.note_request()
                now = 10 * tick / requests
                granted += sum(mine.take(now) for _ in range(3))
            self.assertLessEqual(granted, 0.2 * requests + slack)
            self.assertGreater(granted, 0.2 * requests)


class AdaptiveLimitTest(TestCase):
    """The limit falls when latency rises, and comes back."""

    def test_follows_latency(self) -> None:
        limit = AdaptiveLimit(32)
        for _ in range(200):
            limit.observe(0.1, 32)
        self.assertEqual(limit.limit, 32)
        for _ in range(30):
            limit.observe(1.0, 32)
        self.assertLess(limit.limit, 20)
        for _ in range(300):
            limit.observe(0.1, 32)
        self.assertEqual(limit.limit, 32)
