"""Admission over all pools of a fleet, and the tickets that came of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.routing.admission import Place
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
    """Pools by key, the limits of workspaces, and the open tickets."""

    def __init__(self, data_center: str, entries: int) -> None:
        """Start without a fleet."""
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
        """Return the number of tickets not closed."""
        return len(self._tickets)

    def update_fleet(self, fleet: Fleet) -> None:
        """Take over a fleet; a pool that is gone keeps its work in flight."""
        self._table = TargetTable(fleet)
        self._priorities = {one.name: one for one in fleet.priorities}
        self._workspaces = fleet.workspaces
        self.limits.update(fleet.workspaces, self._entries)
        for key in self._table.keys.difference(self.pools):
            self.pools[key] = Pool(key, CandidateSet(self._data_center))

    def update_entries(self, entries: int) -> None:
        """Take over the number of entries that share the limits."""
        if entries == self._entries:
            return
        self._entries = max(1, entries)
        self.limits.update(self._workspaces, self._entries)

    def update_upstreams(
        self, views: Iterable[UpstreamView], now: float
    ) -> list[str]:
        """Replace the known upstreams; return the names of those gone."""
        if self._table is None:
            return []
        gone: list[str] = []
        for key, members in self._table.group(views).items():
            pool = self.pools[key]
            before = pool.candidates.members.keys()
            pool.candidates.update(members, now, self._entries, pool.memory_s)
            pool.open_slots(self._entries)
            gone.extend(before - pool.candidates.members.keys())
        return gone

    def admit(self, req: RoutingRequest, now: float, rng: Random) -> Admission:
        """Let a request in, queue it, or refuse it at once."""
        workspace = self.limits.find(req.workspace)
        priority = self._priorities.get(req.priority)
        if workspace is None or priority is None:
            return Refused(RefusalReason.UNKNOWN_WORKSPACE)
        pool = self._pool_of(req)
        if pool is None:
            return Refused(RefusalReason.UNKNOWN_TARGET)
        if pool.candidates.is_empty:
            again = retry_after(NO_UPSTREAM_RETRY_S, rng)
            return Refused(RefusalReason.NO_UPSTREAM, again)
        hold_s = pool.gate.drain.hold_s
        refusal = self.limits.refusal(workspace, now, hold_s, rng)
        if refusal is not None:
            return refusal
        weights = FlowWeights(priority.weight, workspace.weight)
        place = Place(priority, weights)
        self._last_ticket += 1
        ticket = Ticket(self._last_ticket, req, now)
        admission = pool.gate.admit(ticket, place, now, rng)
        if not isinstance(admission, Refused):
            self.limits.take(workspace)
            self._tickets[ticket.number] = pool
        return admission

    def dispatch(self, now: float, rng: Random) -> Dispatched:
        """Return the queued tickets whose turn it is, or that ran late."""
        parts = [
            self._dispatch_pool(pool, now, rng)
            for pool in tuple(self.pools.values())
        ]
        refused = [late for part in parts for late in part.refused]
        for late in refused:
            self._forget(late.ticket)
        admitted = [ticket for part in parts for ticket in part.admitted]
        return Dispatched(tuple(admitted), tuple(refused))

    def pool_of_ticket(self, ticket: Ticket) -> Pool | None:
        """Return the pool of an open ticket."""
        return self._tickets.get(ticket.number)

    def close(self, ticket: Ticket, now: float) -> None:
        """Forget a ticket; safe to call twice."""
        pool = self._tickets.get(ticket.number)
        if pool is not None:
            pool.gate.close(ticket.number, now)
            self._forget(ticket)

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

    def _forget(self, ticket: Ticket) -> None:
        self._tickets.pop(ticket.number, None)
        self.limits.give_back(ticket.req.workspace)
