"""Connects one request and its attempts to the routing service."""

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
from snipebend.routing.messages import RefusalReason as AdmissionRefusalReason

from snipebend.transport.routing_service import (
    UpstreamSelection,
    RoutingService,
)

if TYPE_CHECKING:
    from snipebend.delivery.suspect_lease import SuspectLease
    from snipebend.routing.messages import Admitted


#: Refusals after which the upstream is not chosen for some time.
_UNAVAILABLE_REASONS = frozenset(
    (RefusalReason.LEAVING, RefusalReason.UPSTREAM_DOWN)
)

_NO_TICKET = Ticket(-1, RoutingRequest('', '', ModelTarget(''), 0), 0)

_RUNNING_ELSEWHERE = 'an earlier sending of this request has to end first'

_STATUS = MappingProxyType(
    {
        AdmissionRefusalReason.RATE: HTTPStatus.TOO_MANY_REQUESTS,
        AdmissionRefusalReason.CONCURRENCY: HTTPStatus.TOO_MANY_REQUESTS,
        AdmissionRefusalReason.QUARANTINED: HTTPStatus.UNPROCESSABLE_ENTITY,
        AdmissionRefusalReason.UNKNOWN_TARGET: HTTPStatus.NOT_FOUND,
        AdmissionRefusalReason.UNKNOWN_WORKSPACE: HTTPStatus.UNAUTHORIZED,
    },
)


@dataclass(slots=True)
class _SentAttempt:
    """An attempt counted by routing; ``latency_s`` is set by a chunk."""

    upstream: str
    sent_at: float
    latency_s: float | None = None
    failure_outcome: AttemptOutcome = AttemptOutcome.FAILED


class RoutedRequest:
    """Requests upstreams from routing and reports each outcome once.

    A request that admission refused gets no upstream. Its refusal still passes
    through the delivery, which checks whether its idempotency key has run.
    """

    def __init__(
        self,
        routing_service: RoutingService,
        verdict: Admitted | Refused,
    ) -> None:
        """Initialize without attempts."""
        self._routing_service = routing_service
        self._clock = routing_service.clock
        self._refused = verdict if isinstance(verdict, Refused) else None
        self._ticket = getattr(verdict, 'ticket', _NO_TICKET)
        self._sent: dict[int, _SentAttempt] = {}
        self._free_retry = False
        self._lease: SuspectLease | None = None
        self._deaths_before = 0
        #: Whether the upstream of the last attempt crashed.
        self._crashed = False

    def choose(
        self,
        exclude: frozenset[str],
    ) -> UpstreamSelection:
        """Choose the upstream of the next attempt.

        A request that has crashed as many upstreams as the fleet file allows
        gets no further one, because its quarantine may not have been received
        yet.
        """
        if self._refused is not None:
            return _refusal(self._refused)
        fingerprint = self._ticket.req.fingerprint
        limit = self._routing_service.death_limit()
        if self._routing_service.crash_counts.is_blocked(
            fingerprint, limit, self._clock.now()
        ):
            return _refusal(Refused(AdmissionRefusalReason.QUARANTINED))
        return self._routing_service.choose(self._ticket, exclude)

    def request_retry(self) -> RetryGranted | RetryDenied:
        """Request one more attempt.

        After a refusal that makes the upstream unavailable, the retry is not
        charged to the budget: such refusals cannot repeat, and the budget
        limits retries of failed work.
        """
        if self._free_retry:
            self._free_retry = False
            return RetryGranted()
        return self._routing_service.request_retry()

    async def acquire_lease(self) -> NoUpstream | None:
        """Ensure that a suspect runs nowhere else, or return a refusal.

        A crash in the last attempt must be counted before the next attempt,
        so that its quarantine applies whichever entry observed the earlier
        crashes.
        """
        leases = self._routing_service.leases
        req = self._ticket.req
        if self._lease is None:
            self._lease = leases.open(req.fingerprint, req.deadline_at)
        wait_s = await leases.acquire(self._lease)
        if not wait_s and self._crashed:
            wait_s = await self._wait_for_count(self._lease)
        if wait_s:
            return NoUpstream(wait_s, detail=_RUNNING_ELSEWHERE)
        quarantine = self._routing_service.router.quarantine
        now = self._clock.now()
        until = quarantine.blocked_until(req, now)
        if until is not None:
            return _no_upstream(
                Refused(AdmissionRefusalReason.QUARANTINED, until - now)
            )
        self._deaths_before = quarantine.death_count(req.fingerprint)
        return None

    async def _wait_for_count(self, lease: SuspectLease) -> float:
        """Return the seconds to wait if the crash is not yet counted, or 0."""
        known = self._deaths_before
        if await self._routing_service.wait_for_death(lease.fingerprint, known):
            return 0
        return lease.expires_at - self._clock.wall()

    def close(self) -> None:
        """Release the lease and close the request in the router."""
        if self._lease is not None:
            self._routing_service.leases.close(self._lease)
            self._lease = None
        if self._refused is None:
            self._routing_service.close(self._ticket)

    def record_start(self, attempt: int, upstream: str) -> None:
        """Record that an attempt is being sent to an upstream."""
        self._crashed = False
        self._sent[attempt] = _SentAttempt(upstream, self._clock.now())
        self._routing_service.router.record_start(
            self._ticket, upstream, self._clock.now()
        )
        if self._lease is not None:
            self._lease.record_start()

    def record_first_chunk(self, attempt: int) -> None:
        """Record the time to the first chunk."""
        sent = self._sent.get(attempt)
        if sent is not None and sent.latency_s is None:
            sent.latency_s = self._clock.now() - sent.sent_at

    def record_success(self, attempt: int) -> None:
        """Report a successful attempt."""
        self.record_first_chunk(attempt)
        sent = self._sent.pop(attempt, None)
        if sent is not None:
            self._routing_service.router.record_success(
                self._ticket,
                sent.upstream,
                sent.latency_s or 0,
                self._clock.now(),
            )
            fingerprint = self._ticket.req.fingerprint
            self._routing_service.crash_counts.clear(fingerprint)
            self._routing_service.on_served(
                self._ticket.req, self._lease is not None
            )
        if self._lease is not None:
            self._lease.record_served()

    def record_refusal(self, attempt: int, reason: RefusalReason) -> None:
        """Report an attempt that the agent refused to start."""
        sent = self._sent.pop(attempt, None)
        if sent is None:
            return
        self._free_retry = reason in _UNAVAILABLE_REASONS
        if self._lease is not None and reason.proves_not_run:
            self._lease.record_not_run()
        if reason is RefusalReason.LEAVING:
            self._routing_service.record_leaving(sent.upstream)
        is_down = reason is RefusalReason.UPSTREAM_DOWN
        if is_down:
            self._routing_service.record_down(sent.upstream)
        outcome = AttemptOutcome.FAILED if is_down else AttemptOutcome.REFUSED
        if reason is RefusalReason.NOT_ALONE:
            # This does not indicate overload: the upstream's limit stays.
            outcome = AttemptOutcome.CANCELLED
        self._record_failure(sent.upstream, outcome)

    def record_upstream_death(self, attempt: int, alone: bool) -> None:
        """Record that an attempt is about to fail: its upstream crashed."""
        sent = self._sent.get(attempt)
        if sent is not None:
            fingerprint = self._ticket.req.fingerprint
            self._routing_service.crash_counts.record_crash(
                fingerprint, alone, self._clock.now()
            )
            sent.failure_outcome = AttemptOutcome.CRASHED
            self._crashed = True
            self._routing_service.record_down(sent.upstream)
            if self._lease is not None:
                self._lease.record_death()

    def record_failure(self, attempt: int, *, was_sent: bool) -> None:
        """Record a failed attempt; it did not run if it was not sent."""
        sent = self._sent.pop(attempt, None)
        if self._lease is not None and not was_sent:
            self._lease.record_not_run()
        if sent is not None:
            self._record_failure(sent.upstream, sent.failure_outcome)

    def _record_failure(self, upstream: str, outcome: AttemptOutcome) -> None:
        now = self._clock.now()
        self._routing_service.router.record_failure(
            self._ticket, upstream, outcome, now
        )


def _refusal(refused: Refused) -> UpstreamSelection:
    return UpstreamSelection(_no_upstream(refused))


def _no_upstream(refused: Refused) -> NoUpstream:
    return NoUpstream(
        refused.retry_after_s,
        _STATUS.get(refused.reason, HTTPStatus.SERVICE_UNAVAILABLE),
        f'refused: {refused.reason.value}',
    )
