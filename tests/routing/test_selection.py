"""Guards against choosing an upstream that is overloaded or unusable.

A prefix hint can favour an upstream that is already loaded, leaving, excluded
or crashed. Load reports are seconds old: they lack the attempts that this entry
has sent since, and include some that it must not count twice.
"""

from __future__ import annotations

from random import Random
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from snipebend.routing.messages import (
    Admitted,
    AttemptOutcome,
    Choice,
    NoUpstream,
    Ticket,
)
from snipebend.routing.outstanding import OutstandingCount
from snipebend.routing.prefix_index import hash_chain
from snipebend.routing.router import Router, RouterSettings
from snipebend.routing.scoring import ScoringRules
from tests.routing.fixtures import NOW, fleet_index, request, upstream

_CHAIN = hash_chain('x' * 640)
#: Compares all candidates, so that the least loaded one is always found.
_ALL = ScoringRules(scan=1000)


def make_router(rules: ScoringRules = _ALL) -> Router:
    """Return a router with the fixture's fleet."""
    router = Router(RouterSettings('entry', 'here', rules=rules))
    router.update_fleet(fleet_index())
    return router


def admit(router: Router, chain: tuple[int, ...] = ()) -> Ticket:
    """Admit a request while slots are free."""
    verdict = router.admit(request(chain=chain), NOW, Random(1))
    assert isinstance(verdict, Admitted)
    return verdict.ticket


class SelectionTest(TestCase):
    """Prefix hints never override load, phase or exclusions."""

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(st.integers(0, 12), min_size=2, max_size=8),
        st.sets(st.integers(0, 7)),
        st.integers(0, 99),
    )
    def test_locality_never_exceeds_the_load_bound(
        self, loads: list[int], holders: set[int], seed: int
    ) -> None:
        router = make_router()
        router.update_upstreams([upstream('idle')], NOW)
        ticket = admit(router, _CHAIN)
        views = [
            upstream(str(number), load) for number, load in enumerate(loads)
        ]
        router.update_upstreams(views, NOW)
        for holder in holders:
            router.prefixes.record(str(holder), _CHAIN)
        choice = router.choose(ticket, frozenset(), NOW, Random(seed))
        assert isinstance(choice, Choice)
        utilisation = (loads[int(choice.upstream)] + 1) / 4
        least = (min(loads) + 1) / 4
        self.assertLessEqual(utilisation, _ALL.load_bound(least))
        holds = [
            number
            for number in holders
            if number < len(loads) and loads[number] == min(loads)
        ]
        if holds:
            self.assertGreater(choice.cached_blocks, 0)

    def test_own_work_corrects_a_late_report(self) -> None:
        """Attempts sent after an old report come from this entry's count."""
        router = make_router()
        views = [upstream(name, 1, taken_at=NOW - 5) for name in ('u', 'v')]
        router.update_upstreams(views, NOW)
        rng = Random(2)
        sent = []
        for _ in range(6):
            ticket = admit(router)
            choice = router.choose(ticket, frozenset(), NOW, rng)
            assert isinstance(choice, Choice)
            router.record_start(ticket, choice.upstream, NOW)
            router.update_upstreams(views, NOW)
            sent.append(choice.upstream)
        self.assertEqual(sent.count('u'), 3)

    def test_own_work_in_a_report_is_not_counted_twice(self) -> None:
        router = make_router()
        views = [upstream('u'), upstream('v', 3)]
        router.update_upstreams(views, NOW)
        for _ in range(2):
            router.record_start(admit(router), 'u', NOW)
        views = [
            upstream('u', 2, taken_at=NOW + 0.1),
            upstream('v', 3, taken_at=NOW + 0.1),
        ]
        router.update_upstreams(views, NOW + 0.1)
        choice = router.choose(admit(router), frozenset(), NOW + 0.1, Random(1))
        assert isinstance(choice, Choice)
        self.assertEqual(choice.upstream, 'u')

    def test_same_data_center_first_up_to_a_threshold(self) -> None:
        router = make_router()
        for load, expected in ((1, 'near'), (3, 'far')):
            views = [
                upstream('near', load),
                upstream('far', 0, data_center='there'),
            ]
            router.update_upstreams(views, NOW)
            choice = router.choose(admit(router), frozenset(), NOW, Random(1))
            assert isinstance(choice, Choice)
            self.assertEqual(choice.upstream, expected)

    def test_leaving_and_excluded_are_never_chosen(self) -> None:
        router = make_router(ScoringRules())
        views = [upstream(str(number)) for number in range(6)]
        router.update_upstreams(views, NOW)
        ticket = admit(router, _CHAIN)
        router.prefixes.record('0', _CHAIN)
        views[0] = views[0]._replace(phase='leaving')
        router.update_upstreams(views, NOW)
        for seed in range(50):
            choice = router.choose(ticket, frozenset('12'), NOW, Random(seed))
            assert isinstance(choice, Choice)
            self.assertIn(choice.upstream, '345')
        none = router.choose(ticket, frozenset('12345'), NOW, Random(1))
        self.assertIsInstance(none, NoUpstream)

    def test_crashed_upstream_gets_no_more_work(self) -> None:
        """Membership takes seconds to remove it; routing must not wait."""
        router = make_router()
        views = [upstream(str(number)) for number in range(4)]
        router.update_upstreams(views, NOW)
        ticket = admit(router)
        router.record_start(ticket, '0', NOW)
        router.record_failure(ticket, '0', AttemptOutcome.CRASHED, NOW)
        router.update_upstreams(views, NOW + 1)
        other = admit(router)
        for seed in range(20):
            choice = router.choose(other, frozenset(), NOW + 1, Random(seed))
            assert isinstance(choice, Choice)
            self.assertNotEqual(choice.upstream, '0')


class OutstandingCountTest(TestCase):
    """The count returns its past values from a bounded history.

    The value at the time of a load report shows which attempts it includes.
    """

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(st.floats(0.06, 1), st.sampled_from((1, -1))),
            min_size=1,
            max_size=100,
        ),
        st.floats(0, 60),
    )
    def test_returns_past_counts(
        self, changes: list[tuple[float, int]], moment: float
    ) -> None:
        count = OutstandingCount()
        now = 0.0
        current = 0
        expected = 0
        for pause, by in changes:
            now += pause
            current = max(0, current + by)
            count.change(by, now)
            if now <= moment:
                expected = current
        self.assertEqual(count.at(moment), expected)
        self.assertEqual(count.current, current)
