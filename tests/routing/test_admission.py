"""Guards against requests that wait in vain, and overfilled upstreams.

Under overload the queue grows beyond what can be served before the deadlines,
one workspace fills it, or several entries each use the full capacity of the
same old load reports. Such requests must be refused early, with a
``Retry-After`` that spreads the resends.
"""

from __future__ import annotations

from random import Random
from unittest import TestCase

from snipebend.routing.messages import (
    Admitted,
    Queued,
    RefusalReason,
    Refused,
    Ticket,
)
from snipebend.routing.router import Router, RouterSettings
from tests.routing.fixtures import NOW, fleet_index, request, upstream


class AdmissionTest(TestCase):
    """Admission to one upstream with four slots."""

    def setUp(self) -> None:
        """Create a router with an idle upstream."""
        self.rng = Random(1)
        self.router = Router(RouterSettings('entry', 'here'))
        self.router.update_fleet(fleet_index())
        self.router.update_upstreams([upstream('u')], NOW)

    def test_drain_rate_decides(self) -> None:
        """With ten queued and two served per second, even 4 s are too short."""
        tickets = self._fill(4)
        self._serve_steadily(tickets, held_s=2)
        at = NOW + 100
        for _ in range(10):
            self.router.admit(request(deadline_at=at + 60), at, self.rng)
        verdict = self.router.admit(request(deadline_at=at + 0.1), at, self.rng)
        assert isinstance(verdict, Refused)
        self.assertEqual(verdict.reason, RefusalReason.DEADLINE)
        self.assertGreater(verdict.retry_after_s, 0)

    def test_retry_after_grows_with_the_queue_and_is_jittered(self) -> None:
        self._serve_steadily(self._fill(4), held_s=2)
        at = NOW + 1000
        spans = []
        for _ in range(40):
            late = request(deadline_at=at)
            verdict = self.router.admit(late, at, self.rng)
            assert isinstance(verdict, Refused)
            spans.append(verdict.retry_after_s)
            self.router.admit(request(deadline_at=at + 60), at, self.rng)
        self.assertGreater(len(set(spans)), 10)
        self.assertGreater(min(spans[-5:]), max(spans[:1]))

    def test_rate_limit_admits_again_after_refill(self) -> None:
        """Workspace ``a``: a burst of 100, then ten a second."""
        reasons = []
        for _ in range(101):
            verdict = self.router.admit(request('a'), NOW, self.rng)
            if isinstance(verdict, Refused):
                reasons.append(verdict.reason)
                continue
            self.router.close(verdict.ticket, NOW)
        self.assertEqual(reasons, [RefusalReason.RATE])
        again = self.router.admit(request('a'), NOW + 0.11, self.rng)
        self.assertIsInstance(again, Admitted)

    def test_one_workspace_does_not_fill_the_queue(self) -> None:
        """A flood of one workspace leaves queue room for the other."""
        self._fill(4)
        verdicts = [
            self.router.admit(request('b'), NOW, self.rng) for _ in range(200)
        ]
        queued = sum(isinstance(one, Queued) for one in verdicts)
        self.assertEqual(queued, 32)
        other = request('a')._replace(priority='low')
        verdict = self.router.admit(other, NOW, self.rng)
        self.assertIsInstance(verdict, Queued)

    def test_expired_ticket_is_refused_and_closed(self) -> None:
        self._fill(4)
        waiting = self.router.admit(request(deadline_at=NOW + 1), NOW, self.rng)
        assert isinstance(waiting, Queued)
        dispatched = self.router.dispatch(NOW + 1, self.rng)
        self.assertEqual(dispatched.refused[0].ticket, waiting.ticket)
        self.assertEqual(self.router.dump().counts['tickets'], 4)

    def test_no_upstream_is_refused_at_once(self) -> None:
        self.router.update_upstreams([], NOW)
        verdict = self.router.admit(request(), NOW, self.rng)
        assert isinstance(verdict, Refused)
        self.assertEqual(verdict.reason, RefusalReason.NO_UPSTREAM)

    def test_entries_share_the_capacity(self) -> None:
        """Ten entries with the same old reports do not exceed the capacity."""
        views = [upstream(f'u{number}', 1) for number in range(10)]
        routers = [
            Router(RouterSettings(f'e{number}', 'here', 10))
            for number in range(10)
        ]
        admitted = 0
        for router in routers:
            router.update_fleet(fleet_index())
            router.update_upstreams(views, NOW)
            for _ in range(40):
                verdict = router.admit(request(), NOW, self.rng)
                admitted += isinstance(verdict, Admitted)
        self.assertEqual(admitted, 40)

    def _fill(self, count: int) -> list[Ticket]:
        tickets = []
        for _ in range(count):
            verdict = self.router.admit(request(), NOW, self.rng)
            assert isinstance(verdict, Admitted)
            self.router.record_start(verdict.ticket, 'u', NOW)
            tickets.append(verdict.ticket)
        return tickets

    def _serve_steadily(self, tickets: list[Ticket], held_s: float) -> None:
        """Close running requests and refill, so that the drain is measured."""
        for ticket in tickets:
            self.router.record_success(ticket, 'u', 0.1, NOW + held_s)
            self.router.close(ticket, NOW + held_s)
        self._fill(4)
