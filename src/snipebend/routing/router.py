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
    router.dispatch(now)  # after each close, and on a timer
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from snipebend.fleet.lookup import FleetIndex
    from snipebend.routing.messages import (
        Admission,
        AttemptOutcome,
        Dispatched,
        RoutingRequest,
        Selection,
        Ticket,
    )
    from snipebend.routing.views import RouterDump, SuspectView, UpstreamView


class RouterSettings(NamedTuple):
    """What one router knows of its own place.

    ``entries`` is the number of entries that share the fleet's limits.
    """

    process: str
    data_center: str
    entries: int = 1


class Router:
    """Admission and choice of the upstream, for one entry."""

    def __init__(self, cfg: RouterSettings) -> None:
        """Start without a fleet: every request is refused."""
        raise NotImplementedError

    def update_fleet(self, index: FleetIndex) -> None:
        """Take over a fleet; work in flight is left alone."""
        raise NotImplementedError

    def update_entries(self, entries: int) -> None:
        """Take over the number of entries that share the limits."""
        raise NotImplementedError

    def update_upstreams(
        self, views: Iterable[UpstreamView], now: float
    ) -> None:
        """Replace the known upstreams; those not named are gone."""
        raise NotImplementedError

    def update_suspects(self, suspects: Iterable[SuspectView]) -> None:
        """Replace the suspects that the control daemons share."""
        raise NotImplementedError

    def admit(self, req: RoutingRequest, now: float, rng: Random) -> Admission:
        """Let a request in, queue it, or refuse it at once."""
        raise NotImplementedError

    def dispatch(self, now: float, rng: Random) -> Dispatched:
        """Return the queued tickets whose turn it is, or that ran late."""
        raise NotImplementedError

    def choose(
        self,
        ticket: Ticket,
        exclude: frozenset[str],
        now: float,
        rng: Random,
    ) -> Selection:
        """Choose the upstream of the next attempt."""
        raise NotImplementedError

    def started(self, ticket: Ticket, upstream: str, now: float) -> None:
        """Count an attempt that is handed over to an upstream."""
        raise NotImplementedError

    def finished(
        self, ticket: Ticket, upstream: str, latency_s: float, now: float
    ) -> None:
        """Count a served attempt; latency is the time to the first token."""
        raise NotImplementedError

    def failed(
        self,
        ticket: Ticket,
        upstream: str,
        outcome: AttemptOutcome,
        now: float,
    ) -> None:
        """Count an attempt that ended otherwise."""
        raise NotImplementedError

    def close(self, ticket: Ticket, now: float) -> None:
        """Forget a ticket; safe to call twice."""
        raise NotImplementedError

    def ask_retry(self, now: float) -> bool:
        """Take one retry from the budget, if there is one."""
        raise NotImplementedError

    def dump(self) -> RouterDump:
        """Return the state for the dump of the process."""
        raise NotImplementedError
