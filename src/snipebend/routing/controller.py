"""Admission control across all pools, and the open tickets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.routing.admission import QueueClass
from snipebend.routing.candidates import CandidateSet
from snipebend.routing.fair_queue import FlowWeights
from snipebend.routing.limits import WorkspaceLimits
from snipebend.routing.messages import (
    Dispatched,
    RefusalReason,
    Refused,
    Ticket,
)
from snipebend.routing.pools import Pool, TargetTable
from snipebend.routing.retry_after import NO_UPSTREAM_RETRY_S, retry_after

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from snipebend.fleet.model import Fleet, Priority, Workspace
    from snipebend.routing.messages import Admission, RoutingRequest
    from snipebend.routing.views import UpstreamView


class AdmissionController:
    """Admits requests to pools within the limits of their workspaces."""

    def __init__(self, data_center: str, entries: int) -> None:
        """Create a controller without a fleet."""
        self._data_center = data_center
        self._entries = entries
        self._table: TargetTable | None = None
        self._priorities: dict[str, Priority] = {}
        self._workspaces: tuple[Workspace, ...] = ()
        self._tickets: dict[int, Pool] = {}
        self._last_ticket = 0
        self.limits = WorkspaceLimits()
        self.pools: dict[str, Pool] = {}

    @property
    def open_tickets(self) -> int:
        """Return the number of open tickets."""
        return len(self._tickets)

    def update_fleet(self, fleet: Fleet) -> None:
        """Apply a fleet; removed pools keep their requests in flight."""
        self._table = TargetTable(fleet)
        self._priorities = {one.name: one for one in fleet.priorities}
        self._workspaces = fleet.workspaces
        self.limits.update(fleet.workspaces, self._entries)
        for key in self._table.keys.difference(self.pools):
            self.pools[key] = Pool(key, CandidateSet(self._data_center))

    def update_entries(self, entries: int) -> None:
        """Set the number of entries that share the limits."""
        if entries == self._entries:
            return
        self._entries = max(1, entries)
        self.limits.update(self._workspaces, self._entries)

    def update_upstreams(
        self, views: Iterable[UpstreamView], now: float
    ) -> list[str]:
        """Replace the known upstreams; return the names of removed ones."""
        if self._table is None:
            return []
        removed: list[str] = []
        for key, members in self._table.group(views).items():
            pool = self.pools[key]
            previous = pool.candidates.members.keys()
            pool.candidates.update(
                members, now, self._entries, pool.report_decay_s
            )
            pool.update_slots(self._entries)
            removed.extend(previous - pool.candidates.members.keys())
        return removed

    def admit(self, req: RoutingRequest, now: float, rng: Random) -> Admission:
        """Admit, queue or refuse a request."""
        workspace = self.limits.find(req.workspace)
        priority = self._priorities.get(req.priority)
        if workspace is None or priority is None:
            return Refused(RefusalReason.UNKNOWN_WORKSPACE)
        pool = self._pool_of(req)
        if pool is None:
            return Refused(RefusalReason.UNKNOWN_TARGET)
        if pool.candidates.is_empty:
            retry_after_s = retry_after(NO_UPSTREAM_RETRY_S, rng)
            return Refused(RefusalReason.NO_UPSTREAM, retry_after_s)
        hold_s = pool.gate.drain_rate.hold_s
        refusal = self.limits.check(workspace, now, hold_s, rng)
        if refusal is not None:
            return refusal
        weights = FlowWeights(priority.weight, workspace.weight)
        queue_class = QueueClass(priority, weights)
        self._last_ticket += 1
        ticket = Ticket(self._last_ticket, req, now)
        admission = pool.gate.admit(ticket, queue_class, now, rng)
        if not isinstance(admission, Refused):
            self.limits.acquire(workspace)
            self._tickets[ticket.number] = pool
        return admission

    def dispatch(self, now: float, rng: Random) -> Dispatched:
        """Return the tickets to dispatch now, and the expired ones."""
        parts = [
            self._dispatch_pool(pool, now, rng)
            for pool in tuple(self.pools.values())
        ]
        refused = [expired for part in parts for expired in part.refused]
        for expired in refused:
            self._release_ticket(expired.ticket)
        admitted = [ticket for part in parts for ticket in part.admitted]
        return Dispatched(tuple(admitted), tuple(refused))

    def pool_of_ticket(self, ticket: Ticket) -> Pool | None:
        """Return the pool of an open ticket, or None."""
        return self._tickets.get(ticket.number)

    def close(self, ticket: Ticket, now: float) -> None:
        """Close a ticket; closing it again has no effect."""
        pool = self._tickets.get(ticket.number)
        if pool is not None:
            pool.gate.close(ticket.number, now)
            self._release_ticket(ticket)

    def _pool_of(self, req: RoutingRequest) -> Pool | None:
        if self._table is None:
            return None
        key = self._table.key_of(req.target)
        return self.pools.get(key) if key in self._table.keys else None

    def _dispatch_pool(self, pool: Pool, now: float, rng: Random) -> Dispatched:
        if self._table is None or pool.key in self._table.keys:
            return pool.gate.dispatch(now, rng)
        if not pool.gate.admitted:
            self.pools.pop(pool.key)
        return pool.gate.refuse_all()

    def _release_ticket(self, ticket: Ticket) -> None:
        self._tickets.pop(ticket.number, None)
        self.limits.release(ticket.req.workspace)
