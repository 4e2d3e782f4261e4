"""The interface of routing: one object without a clock or a socket.

The calls for one request::

    match router.admit(req, now, rng):
        case Refused(): respond with the refusal
        case Queued(ticket): wait until `dispatch` returns the ticket
        case Admitted(ticket): continue
    match router.choose(ticket, exclude, now, rng):
        case Choice(upstream): router.record_start(ticket, upstream, now)
    router.record_success(ticket, upstream, latency_s, now)  # or record_failure
    router.close(ticket, now)  # once in every case, also for a queued ticket
    router.dispatch(now, rng)  # after each close, and on a timer
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from snipebend.routing.attempts import AttemptTracker
from snipebend.routing.chooser import Chooser
from snipebend.routing.controller import AdmissionController
from snipebend.routing.messages import (
    AttemptOutcome,
    NoUpstream,
    RefusalReason,
    Refused,
)
from snipebend.routing.prefix_index import DEFAULT_CAPACITY, PrefixIndex
from snipebend.routing.retry_after import NO_UPSTREAM_RETRY_S, retry_after
from snipebend.routing.retry_budget import RetryBudget
from snipebend.routing.scoring import ScoringRules
from snipebend.routing.views import RouterDump

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from snipebend.fleet.lookup import FleetIndex
    from snipebend.routing.messages import (
        Admission,
        Dispatched,
        RoutingRequest,
        Selection,
        Ticket,
    )
    from snipebend.routing.views import SuspectView, UpstreamView


class RouterSettings(NamedTuple):
    """Settings of one router.

    ``entries`` is the number of entries that share the fleet's limits.
    """

    process: str
    data_center: str
    entries: int = 1
    rules: ScoringRules = ScoringRules()
    #: Maximum number of pairs of prefix and upstream in the prefix index.
    prefix_capacity: int = DEFAULT_CAPACITY


class Router:
    """Admits requests and chooses their upstreams, for one entry.

    Engines' cache events are applied to ``prefixes`` directly; ``quarantine``
    has the state of suspects.
    """

    def __init__(self, cfg: RouterSettings) -> None:
        """Create a router without a fleet, which refuses every request."""
        self.prefixes = PrefixIndex(cfg.prefix_capacity)
        self._entries = cfg.entries
        self._admission = AdmissionController(cfg.data_center, cfg.entries)
        self._chooser = Chooser(cfg.rules, self.prefixes)
        self.quarantine = self._chooser.quarantine
        self._budget = RetryBudget(0)
        self._attempts = AttemptTracker()

    def update_fleet(self, index: FleetIndex) -> None:
        """Apply a fleet without touching requests in flight.

        The next ``update_upstreams`` updates the candidates.
        """
        self._admission.update_fleet(index.fleet)
        self._budget.update_ratio(index.fleet.routing.retry_ratio)

    def update_entries(self, entries: int) -> None:
        """Set the number of entries that share the limits."""
        self._entries = entries
        self._admission.update_entries(entries)

    def update_upstreams(
        self, views: Iterable[UpstreamView], now: float
    ) -> None:
        """Replace the known upstreams; remove those without a view."""
        for removed in self._admission.update_upstreams(views, now):
            self.prefixes.forget(removed)

    def update_suspects(self, suspects: Iterable[SuspectView]) -> None:
        """Replace the suspects reported by the control daemons."""
        self.quarantine.update(suspects)

    def admit(self, req: RoutingRequest, now: float, rng: Random) -> Admission:
        """Admit, queue or refuse a request."""
        until = self.quarantine.blocked_until(req, now)
        if until is not None:
            return Refused(RefusalReason.QUARANTINED, until - now)
        admission = self._admission.admit(req, now, rng)
        if not isinstance(admission, Refused):
            self._budget.record_request()
        return admission

    def dispatch(self, now: float, rng: Random) -> Dispatched:
        """Return the tickets to dispatch now, and the expired ones."""
        return self._admission.dispatch(now, rng)

    def choose(
        self,
        ticket: Ticket,
        exclude: frozenset[str],
        now: float,
        rng: Random,
    ) -> Selection:
        """Return the upstream of the next attempt, or that there is none."""
        pool = self._admission.pool_of_ticket(ticket)
        if pool is None:
            return NoUpstream(retry_after(NO_UPSTREAM_RETRY_S, rng))
        return self._chooser.choose(pool.candidates, ticket, exclude, now, rng)

    def record_start(self, ticket: Ticket, upstream: str, now: float) -> None:
        """Record that an attempt is being sent to an upstream."""
        pool = self._admission.pool_of_ticket(ticket)
        if pool is None:
            return
        state = pool.candidates.members.get(upstream)
        if state is None:
            return
        self._attempts.open(ticket.number, state, now)
        pool.candidates.ejector.start_probe(upstream)
        self.prefixes.record(upstream, ticket.req.chain)

    def record_success(
        self, ticket: Ticket, upstream: str, latency_s: float, now: float
    ) -> None:
        """Record a served attempt and its time to the first token."""
        state = self._attempts.close(ticket.number, upstream, now)
        self.quarantine.clear(ticket.req.fingerprint)
        pool = self._admission.pool_of_ticket(ticket)
        if state is None or pool is None:
            return
        state.record_latency(latency_s)
        if pool.candidates.ejector.record_success(upstream):
            state.restart_slow_start(now)

    def record_failure(
        self,
        ticket: Ticket,
        upstream: str,
        outcome: AttemptOutcome,
        now: float,
    ) -> None:
        """Record an attempt that was not served."""
        state = self._attempts.close(ticket.number, upstream, now)
        if outcome is AttemptOutcome.CRASHED:
            self.quarantine.mark_suspects((ticket.req.fingerprint,))
        pool = self._admission.pool_of_ticket(ticket)
        if state is not None and pool is not None:
            pool.candidates.record_failure(state, outcome, now)

    def close(self, ticket: Ticket, now: float) -> None:
        """Close a ticket; closing it again has no effect."""
        self._attempts.close_all(ticket.number, now)
        self.quarantine.release(ticket.number)
        self._admission.close(ticket, now)

    def request_retry(self, now: float) -> bool:
        """Take one retry from the budget; return whether it was allowed."""
        return self._budget.try_acquire(now)

    def dump(self) -> RouterDump:
        """Return the router's state for the process dump."""
        counts: dict[str, float] = {
            'entries': self._entries,
            'tickets': self._admission.open_tickets,
            'workspaces': len(self._admission.limits),
            'prefixes': len(self.prefixes),
            'retries': self._budget.granted,
        }
        upstreams: dict[str, dict[str, float | str]] = {}
        for pool in self._admission.pools.values():
            counts[f'queued.{pool.key}'] = len(pool.gate.queue)
            counts[f'admitted.{pool.key}'] = pool.gate.admitted
            counts[f'slots.{pool.key}'] = pool.gate.slots
            upstreams.update(pool.candidates.describe())
        return RouterDump(counts, upstreams, self.quarantine.suspects)
