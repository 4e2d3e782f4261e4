"""One request as routing deals with it: its verdict and its attempts."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType
from typing import TYPE_CHECKING

from snipebend.delivery.events import NoUpstream, RetryDenied, RetryGranted
from snipebend.delivery.messages import RefusalReason
from snipebend.routing.messages import (
    AttemptOutcome,
    ModelTarget,
    Refused,
    RoutingRequest,
    Ticket,
)
from snipebend.routing.messages import RefusalReason as Reason

from snipebend.transport.routing_desk import Chosen, RoutingDesk

if TYPE_CHECKING:
    from snipebend.delivery.suspect_lease import SuspectLease
    from snipebend.routing.messages import Admitted


#: Refusals after which the upstream isn't chosen again for some time.
_TAKES_OUT = frozenset((RefusalReason.LEAVING, RefusalReason.UPSTREAM_DOWN))

_NO_TICKET = Ticket(-1, RoutingRequest('', '', ModelTarget(''), 0), 0)

_ELSEWHERE = 'an earlier sending of this request has to end first'

_STATUS = MappingProxyType(
    {
        Reason.RATE: HTTPStatus.TOO_MANY_REQUESTS,
        Reason.CONCURRENCY: HTTPStatus.TOO_MANY_REQUESTS,
        Reason.QUARANTINED: HTTPStatus.UNPROCESSABLE_ENTITY,
        Reason.UNKNOWN_TARGET: HTTPStatus.NOT_FOUND,
        Reason.UNKNOWN_WORKSPACE: HTTPStatus.UNAUTHORIZED,
    },
)


@dataclass(slots=True)
class _Sent:
    """An attempt that routing counts; ``latency_s`` once a chunk came."""

    upstream: str
    sent_at: float
    latency_s: float | None = None
    broken: AttemptOutcome = AttemptOutcome.FAILED


class RoutedRequest:
    """Asks routing for upstreams, and tells once how each attempt ended.

    A request that admission refused gets no upstream. Its refusal goes through
    the delivery all the same, which knows whether its key has run before.
    """

    def __init__(
        self,
        desk: RoutingDesk,
        verdict: Admitted | Refused,
    ) -> None:
        """Begin without attempts."""
        self._desk = desk
        self._clock = desk.clock
        self._refused = verdict if isinstance(verdict, Refused) else None
        self._ticket = getattr(verdict, 'ticket', _NO_TICKET)
        self._sent: dict[int, _Sent] = {}
        self._free_retry = False
        self._lease: SuspectLease | None = None
        self._deaths_before = 0

    def choose(
        self,
        exclude: frozenset[str],
    ) -> Chosen:
        """Choose the upstream of the next attempt.

        One that took as many upstreams with it as the fleet file allows gets
        no other: news of its quarantine may still be on its way.
        """
        if self._refused is not None:
            return _refusal(self._refused)
        fingerprint = self._ticket.req.fingerprint
        limit = self._desk.death_limit()
        if self._desk.deaths.bars(fingerprint, limit, self._clock.now()):
            return _refusal(Refused(Reason.QUARANTINED))
        return self._desk.choose(self._ticket, exclude)

    def ask_retry(self) -> RetryGranted | RetryDenied:
        """Ask for one more attempt.

        After a refusal that takes the upstream out of the choice it is free:
        such refusals can't repeat, and the budget is for work that failed.
        """
        if self._free_retry:
            self._free_retry = False
            return RetryGranted()
        return self._desk.ask_retry()

    async def take_lease(self) -> NoUpstream | None:
        """Make sure that a suspect runs nowhere else, or return a refusal.

        A death of the last attempt has to be counted before the next one, so
        that its quarantine is heeded, whoever saw the deaths before.
        """
        leases = self._desk.leases
        req = self._ticket.req
        if self._lease is None:
            self._lease = leases.open(req.fingerprint, req.deadline_at)
        wait_s = await leases.take(self._lease)
        if not wait_s and self._lease.has_killed:
            wait_s = await self._wait_for_count(self._lease)
        if wait_s:
            return NoUpstream(wait_s, detail=_ELSEWHERE)
        quarantine = self._desk.router.quarantine
        now = self._clock.now()
        until = quarantine.blocked_until(req.fingerprint, now)
        if until is not None:
            return _no_upstream(Refused(Reason.QUARANTINED, until - now))
        self._deaths_before = quarantine.death_count(req.fingerprint)
        return None

    async def _wait_for_count(self, lease: SuspectLease) -> float:
        """Return the seconds to wait where the death isn't counted yet."""
        known = self._deaths_before
        if await self._desk.await_death(lease.fingerprint, known):
            return 0
        return lease.expires_at - self._clock.wall()

    def close(self) -> None:
        """Forget the request."""
        if self._lease is not None:
            self._desk.leases.close(self._lease)
            self._lease = None
        if self._refused is None:
            self._desk.close(self._ticket)

    def started(self, attempt: int, upstream: str) -> None:
        """Count an attempt as handed over."""
        self._sent[attempt] = _Sent(upstream, self._clock.now())
        self._desk.router.record_start(
            self._ticket, upstream, self._clock.now()
        )
        if self._lease is not None:
            self._lease.record_start()

    def first_chunk(self, attempt: int) -> None:
        """Note the time to the first chunk."""
        sent = self._sent.get(attempt)
        if sent is not None and sent.latency_s is None:
            sent.latency_s = self._clock.now() - sent.sent_at

    def finished(self, attempt: int) -> None:
        """Report an attempt that was served."""
        self.first_chunk(attempt)
        sent = self._sent.pop(attempt, None)
        if sent is not None:
            self._desk.router.record_success(
                self._ticket,
                sent.upstream,
                sent.latency_s or 0,
                self._clock.now(),
            )
            fingerprint = self._ticket.req.fingerprint
            self._desk.deaths.clear(fingerprint)
            self._desk.on_served(fingerprint, self._lease is not None)
        if self._lease is not None:
            self._lease.record_served()

    def refused(self, attempt: int, reason: RefusalReason) -> None:
        """Report an attempt that the agent didn't start."""
        sent = self._sent.pop(attempt, None)
        if sent is None:
            return
        self._free_retry = reason in _TAKES_OUT
        if self._lease is not None and reason.proves_not_run:
            self._lease.record_not_run()
        if reason is RefusalReason.LEAVING:
            self._desk.note_leaving(sent.upstream)
        is_down = reason is RefusalReason.UPSTREAM_DOWN
        if is_down:
            self._desk.note_down(sent.upstream)
        outcome = AttemptOutcome.FAILED if is_down else AttemptOutcome.REFUSED
        if reason is RefusalReason.NOT_ALONE:
            # No sign of overload: the upstream's limit stays.
            outcome = AttemptOutcome.CANCELLED
        self._failed(sent.upstream, outcome)

    def died(self, attempt: int, alone: bool) -> None:
        """Note that an attempt will break because its upstream died."""
        sent = self._sent.get(attempt)
        if sent is not None:
            fingerprint = self._ticket.req.fingerprint
            self._desk.deaths.note(fingerprint, alone, self._clock.now())
            sent.broken = AttemptOutcome.CRASHED
            self._desk.note_down(sent.upstream)
            if self._lease is not None:
                self._lease.record_death()

    def broke(self, attempt: int, *, was_sent: bool) -> None:
        """Report an attempt that broke off."""
        sent = self._sent.pop(attempt, None)
        if self._lease is not None and not was_sent:
            self._lease.record_not_run()
        if sent is not None:
            self._failed(sent.upstream, sent.broken)

    def _failed(self, upstream: str, outcome: AttemptOutcome) -> None:
        now = self._clock.now()
        self._desk.router.record_failure(self._ticket, upstream, outcome, now)


def _refusal(refused: Refused) -> Chosen:
    return Chosen(_no_upstream(refused))


def _no_upstream(refused: Refused) -> NoUpstream:
    return NoUpstream(
        refused.retry_after_s,
        _STATUS.get(refused.reason, HTTPStatus.SERVICE_UNAVAILABLE),
        f'refused: {refused.reason.value}',
    )
