"""Guards against one request that crashes upstream after upstream.

Each resend of such a request crashes another upstream. The requests that ran
beside it are suspects as well, until one of them is served. Entries decide
independently and must all isolate a suspect on the same upstream.
"""

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
    """Return a router with sixteen idle upstreams."""
    router = Router(RouterSettings(process, 'here'))
    router.update_fleet(fleet_index())
    views = [upstream(f'u{number}') for number in range(16)]
    router.update_upstreams(views, NOW)
    return router


def admit(router: Router, fingerprint: str) -> Ticket:
    """Admit a request."""
    verdict = router.admit(request(fingerprint=fingerprint), NOW, _RNG)
    assert isinstance(verdict, Admitted)
    return verdict.ticket


def choose(router: Router, ticket: Ticket, now: float = NOW) -> Selection:
    """Choose an upstream without exclusions."""
    return router.choose(ticket, frozenset(), now, _RNG)


class QuarantineTest(TestCase):
    """Suspects run alone, are cleared when served, or are refused."""

    def test_harmless_suspect_is_cleared_when_served(self) -> None:
        router = make_router()
        harmless = admit(router, 'harmless')
        router.record_start(harmless, 'u3', NOW)
        router.record_failure(harmless, 'u3', AttemptOutcome.CRASHED, NOW)
        choice = choose(router, harmless)
        assert isinstance(choice, Choice)
        self.assertTrue(choice.alone)
        router.record_start(harmless, choice.upstream, NOW)
        router.record_success(harmless, choice.upstream, 0.1, NOW)
        router.close(harmless, NOW)
        again = choose(router, admit(router, 'harmless'))
        assert isinstance(again, Choice)
        self.assertFalse(again.alone)

    def test_nothing_runs_beside_a_suspect(self) -> None:
        router = make_router()
        router.update_suspects([SuspectView('bad', 1)])
        suspect = admit(router, 'bad')
        lane = choose(router, suspect)
        assert isinstance(lane, Choice)
        router.record_start(suspect, lane.upstream, NOW)
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
        router.record_start(running, lane.upstream, NOW)
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

    def test_quarantined_request_is_refused_until_its_end(self) -> None:
        router = make_router()
        router.update_suspects([SuspectView('bad', 2, NOW + 30)])
        verdict = router.admit(request(fingerprint='bad'), NOW, _RNG)
        self.assertEqual(verdict, Refused(RefusalReason.QUARANTINED, 30))
        later = router.admit(request(fingerprint='bad'), NOW + 30, _RNG)
        self.assertIsInstance(later, Admitted)

    def test_fingerprint_separates_its_parts(self) -> None:
        prints = {
            fingerprint_of('a', '/v1', b'x'),
            fingerprint_of('a/', 'v1', b'x'),
            fingerprint_of('a', '/v1x', b''),
        }
        self.assertEqual(len(prints), 3)
