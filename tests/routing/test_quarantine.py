"""A request that crashes upstreams, and those that ran beside it."""

from __future__ import annotations

from random import Random
from unittest import TestCase

from snipebend.routing.messages import (
    Admitted,
    AttemptOutcome,
    Choice,
    NoUpstream,
    RefusalReason,
    Refused,
    Selection,
    Ticket,
)
from snipebend.routing.quarantine import fingerprint_of
from snipebend.routing.router import Router, RouterSettings
from snipebend.routing.views import SuspectView
from tests.routing.fixtures import NOW, fleet_index, request, upstream

_RNG = Random(3)


def make_router(process: str = 'entry') -> Router:
    """Return a router before sixteen idle upstreams."""
    router = Router(RouterSettings(process, 'here'))
    router.update_fleet(fleet_index())
    views = [upstream(f'u{number}') for number in range(16)]
    router.update_upstreams(views, NOW)
    return router


def admit(router: Router, fingerprint: str) -> Ticket:
    """Let a request in."""
    verdict = router.admit(request(fingerprint=fingerprint), NOW, _RNG)
    assert isinstance(verdict, Admitted)
    return verdict.ticket


def choose(router: Router, ticket: Ticket, now: float = NOW) -> Selection:
    """Choose without exclusions."""
    return router.choose(ticket, frozenset(), now, _RNG)


class QuarantineTest(TestCase):
    """Suspects apart, innocents free again, the guilty one refused."""

    def test_innocent_is_cleared_by_its_answer(self) -> None:
        router = make_router()
        innocent = admit(router, 'innocent')
        router.started(innocent, 'u3', NOW)
        router.failed(innocent, 'u3', AttemptOutcome.CRASHED, NOW)
        choice = choose(router, innocent)
        assert isinstance(choice, Choice)
        self.assertTrue(choice.alone)
        router.started(innocent, choice.upstream, NOW)
        router.finished(innocent, choice.upstream, 0.1, NOW)
        router.close(innocent, NOW)
        again = choose(router, admit(router, 'innocent'))
        assert isinstance(again, Choice)
        self.assertFalse(again.alone)

    def test_nothing_runs_beside_a_suspect(self) -> None:
        router = make_router()
        router.update_suspects([SuspectView('bad', 1)])
        suspect = admit(router, 'bad')
        lane = choose(router, suspect)
        assert isinstance(lane, Choice)
        router.started(suspect, lane.upstream, NOW)
        second = admit(router, 'bad')
        waits = choose(router, second)
        self.assertIsInstance(waits, NoUpstream)
        others = frozenset(f'u{number}' for number in range(16))
        for now in (NOW, NOW + 60):
            nothing_else = router.choose(
                admit(router, ''), others - {lane.upstream}, now, _RNG
            )
            self.assertEqual(nothing_else.__class__, NoUpstream)
        router.close(suspect, NOW)
        freed = choose(router, second)
        assert isinstance(freed, Choice)
        self.assertEqual(freed.upstream, lane.upstream)

    def test_suspect_waits_until_its_upstream_is_idle(self) -> None:
        router = make_router()
        router.update_suspects([SuspectView('bad', 1)])
        suspect = admit(router, 'bad')
        lane = choose(router, suspect)
        assert isinstance(lane, Choice)
        running = admit(router, 'good')
        router.started(running, lane.upstream, NOW)
        self.assertIsInstance(choose(router, suspect), NoUpstream)
        router.close(running, NOW)
        self.assertIsInstance(choose(router, suspect), Choice)

    def test_all_entries_send_a_suspect_to_one_upstream(self) -> None:
        chosen = set()
        for number in range(5):
            router = make_router(f'e{number}')
            router.update_suspects([SuspectView('bad', 1)])
            choice = choose(router, admit(router, 'bad'))
            assert isinstance(choice, Choice)
            chosen.add(choice.upstream)
        self.assertEqual(len(chosen), 1)

    def test_quarantined_is_refused_until_the_deadline(self) -> None:
        router = make_router()
        router.update_suspects([SuspectView('bad', 2, NOW + 30)])
        verdict = router.admit(request(fingerprint='bad'), NOW, _RNG)
        self.assertEqual(verdict, Refused(RefusalReason.QUARANTINED, 30))
        later = router.admit(request(fingerprint='bad'), NOW + 30, _RNG)
        self.assertIsInstance(later, Admitted)

    def test_fingerprint_keeps_its_parts_apart(self) -> None:
        prints = {
            fingerprint_of('a', '/v1', b'x'),
            fingerprint_of('a/', 'v1', b'x'),
            fingerprint_of('a', '/v1x', b''),
        }
        self.assertEqual(len(prints), 3)
