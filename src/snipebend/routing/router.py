"""The façade of the routing decisions: one object, no clock, no socket.

Life of one request::

    match router.admit(req, now, rng):
        case Refused(): answer at once
        case Queued(ticket): wait until `dispatch` returns the ticket
        case Admitted(ticket): go on
    match router.choose(ticket, exclude, now, rng):
        case Choice(upstream): router.started(ticket, upstream, now)
    router.finished(ticket, upstream, latency_s, now)  # or failed(...)
    router.close(ticket, now)  # once, whatever happened, also for a queued one
    router.dispatch(now, rng)  # after each close, and on a timer
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from snipebend.routing.attempts import AttemptBook
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
    """What one router knows of its own place.

    ``entries`` is the number of entries that share the fleet's limits.
    """

    process: str
    data_center: str
    entries: int = 1
    rules: ScoringRules = ScoringRules()
    prefix_capacity: int = DEFAULT_CAPACITY


class Router:
    """Admission and choice of the upstream, for one entry.

    Engines' cache events go to ``prefixes`` directly; ``quarantine`` answers
    questions about suspects.
    """

    def __init__(self, cfg: RouterSettings) -> None:
        """Start without a fleet: every request is refused."""
        self.prefixes = PrefixIndex(cfg.prefix_capacity)
        self._entries = cfg.entries
        self._admission = AdmissionController(cfg.data_center, cfg.entries)
        self._chooser = Chooser(cfg.rules, self.prefixes)
        self.quarantine = self._chooser.quarantine
        self._budget = RetryBudget(0)
        self._attempts = AttemptBook()

    def update_fleet(self, index: FleetIndex) -> None:
        """Take over a fleet; work in flight is left alone.

        The candidates follow with the next ``update_upstreams``.
        """
        self._admission.update_fleet(index.fleet)
        self._budget.take_ratio(index.fleet.routing.retry_ratio)

    def update_entries(self, entries: int) -> None:
        """Take over the number of entries that share the limits."""
        self._entries = entries
        self._admission.update_entries(entries)

    def update_upstreams(
        self, views: Iterable[UpstreamView], now: float
    ) -> None:
        """Replace the known upstreams; those not named are gone."""
        for gone in self._admission.update_upstreams(views, now):
            self.prefixes.forget(gone)

    def update_suspects(self, suspects: Iterable[SuspectView]) -> None:
        """Replace the suspects that the control daemons share."""
        self.quarantine.update(suspects)

    def admit(self, req: RoutingRequest, now: float, rng: Random) -> Admission:
        """Let a request in, queue it, or refuse it at once."""
        until = self.quarantine.blocked_until(req.fingerprint, now)
        if until is not None:
            return Refused(RefusalReason.QUARANTINED, until - now)
        admission = self._admission.admit(req, now, rng)
        if not isinstance(admission, Refused):
            self._budget.note_request()
        return admission

    def dispatch(self, now: float, rng: Random) -> Dispatched:
        """Return the queued tickets whose turn it is, or that ran late."""
        return self._admission.dispatch(now, rng)

    def choose(
        self,
        ticket: Ticket,
        exclude: frozenset[str],
        now: float,
        rng: Random,
    ) -> Selection:
        """Choose the upstream of the next attempt."""
        pool = self._admission.pool_of_ticket(ticket)
        if pool is None:
            return NoUpstream(retry_after(NO_UPSTREAM_RETRY_S, rng))
        return self._chooser.choose(pool.candidates, ticket, exclude, now, rng)

    def started(self, ticket: Ticket, upstream: str, now: float) -> None:
        """Count an attempt that is handed over to an upstream."""
        pool = self._admission.pool_of_ticket(ticket)
        if pool is None:
            return
        state = pool.candidates.members.get(upstream)
        if state is None:
            return
        self._attempts.open(ticket.number, state, now)
        pool.candidates.ejector.start_probe(upstream)
        self.prefixes.record(upstream, ticket.req.chain)

    def finished(
        self, ticket: Ticket, upstream: str, latency_s: float, now: float
    ) -> None:
        """Count a served attempt; latency is the time to the first token."""
        state = self._attempts.close(ticket.number, upstream, now)
        self.quarantine.clear(ticket.req.fingerprint)
        pool = self._admission.pool_of_ticket(ticket)
        if state is None or pool is None:
            return
        state.note_latency(latency_s)
        if pool.candidates.ejector.served(upstream):
            state.restart_ramp(now)

    def failed(
        self,
        ticket: Ticket,
        upstream: str,
        outcome: AttemptOutcome,
        now: float,
    ) -> None:
        """Count an attempt that ended otherwise."""
        state = self._attempts.close(ticket.number, upstream, now)
        if outcome is AttemptOutcome.CRASHED:
            self.quarantine.accuse((ticket.req.fingerprint,))
        pool = self._admission.pool_of_ticket(ticket)
        if state is not None and pool is not None:
            pool.candidates.note_failure(state, outcome, now)

    def close(self, ticket: Ticket, now: float) -> None:
        """Forget a ticket; safe to call twice."""
        self._attempts.close_all(ticket.number, now)
        self.quarantine.release(ticket.number)
        self._admission.close(ticket, now)

    def ask_retry(self, now: float) -> bool:
        """Take one retry from the budget, if there is one."""
        return self._budget.take(now)

    def dump(self) -> RouterDump:
        """Return the state for the dump of the process."""
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
