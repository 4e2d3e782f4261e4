"""Reactions to failing upstreams must not make an outage worse.

When many upstreams fail or slow down at once, ejecting all of them leaves none,
and unlimited retries multiply the load. A limit that does not follow latency
lets too many requests run on slow upstreams.
"""

from __future__ import annotations

from itertools import pairwise
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from snipebend.routing.concurrency import AdaptiveLimit
from snipebend.routing.ejection import Ejector
from snipebend.routing.retry_budget import (
    IDLE_RETRIES_PER_S,
    RESERVE,
    RetryBudget,
    allowance_per_entry,
)

_NAMES = ('a', 'b', 'c', 'd', 'e')


class EjectorTest(TestCase):
    """At most half of the upstreams are ejected; a probe readmits them."""

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
    def test_at_most_half_are_ejected(
        self, steps: list[tuple[str, str, int]]
    ) -> None:
        ejector = Ejector()
        candidates = _NAMES
        ejector.update_candidates(candidates)
        for now, (action, name, count) in enumerate(steps):
            match action:
                case 'fail':
                    ejector.record_failure(name, now, 2, 5)
                case 'serve':
                    ejector.record_success(name)
                case 'probe':
                    ejector.start_probe(name)
                case 'watch':
                    candidates = _NAMES[:count]
                    ejector.update_candidates(candidates)
                case _:
                    latencies = dict.fromkeys(candidates, 1.0)
                    ejector.eject_stragglers(latencies | {name: 9}, now, 5)
            self.assertLessEqual(len(ejector.ejected), len(candidates) // 2)

    def test_one_probe_readmits(self) -> None:
        ejector = Ejector()
        ejector.update_candidates(_NAMES)
        for _ in range(3):
            ejector.record_failure('a', 0, 3, 5)
        self.assertEqual(ejector.status('a', 4), 'out')
        self.assertEqual(ejector.status('a', 5), 'probe')
        ejector.start_probe('a')
        self.assertEqual(ejector.status('a', 5), 'out')
        ejector.record_failure('a', 6, 3, 5)
        self.assertEqual(ejector.status('a', 15), 'out')
        self.assertEqual(ejector.status('a', 16), 'probe')
        ejector.start_probe('a')
        self.assertTrue(ejector.record_success('a'))
        self.assertEqual(ejector.status('a', 16), 'in')


def _new_budget(slack: float, entries: int) -> RetryBudget:
    return RetryBudget(0.2, allowance_per_entry(slack, entries))


def _full_budget(slack: float, entries: int) -> RetryBudget:
    budget = _new_budget(slack, entries)
    for _ in range(1000):
        budget.record_request()
    return budget


def _spend_in_outage(
    budgets: list[RetryBudget], ticks: range, requests: int
) -> int:
    """Try each request of these ticks three times; return what was granted.

    All requests together are spread over 10 s.
    """
    granted = 0
    for tick in ticks:
        budget = budgets[tick % len(budgets)]
        budget.record_request()
        now = 10 * tick / requests
        granted += sum(budget.try_acquire(now) for _ in range(3))
    return granted


class RetryBudgetTest(TestCase):
    """Retries stay a small share of requests."""

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.one_of(st.none(), st.floats(0, 5))))
    def test_retries_stay_below_the_bound(
        self, steps: list[float | None]
    ) -> None:
        budget = RetryBudget(0.1)
        now = 0.0
        for pause in steps:
            if pause is None:
                budget.record_request()
                continue
            now += pause
            budget.try_acquire(now)
            earned = 0.1 * budget.requests + IDLE_RETRIES_PER_S * now
            self.assertLessEqual(budget.granted, RESERVE + earned + 1e-6)

    def test_all_entries_together_stay_within_the_slack(self) -> None:
        """The bound holds in a 10 s outage with all retries saved before it."""
        for entries, slack, requests in ((5, 94, 400), (14, 124, 1691)):
            budgets = [_full_budget(slack, entries) for _ in range(entries)]
            granted = _spend_in_outage(budgets, range(requests), requests)
            self.assertLessEqual(granted, 0.2 * requests + slack)
            self.assertGreater(granted, 0.2 * requests)

    def test_restarted_entries_stay_within_the_slack(self) -> None:
        """Restarts of all entries during an outage grant no further retries."""
        slack, entries, requests = 128, 15, 2560
        restarts = (128, 768, 1408, 2048)
        budgets = [_full_budget(slack, entries) for _ in range(entries)]
        granted = 0
        for start, end in pairwise((0, *restarts, requests)):
            granted += _spend_in_outage(budgets, range(start, end), requests)
            budgets = [_new_budget(slack, entries) for _ in budgets]
        self.assertLessEqual(granted, 0.2 * requests + slack)
        self.assertGreater(granted, 0.2 * requests)


class AdaptiveLimitTest(TestCase):
    """The limit falls when latency rises, and recovers."""

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
