"""Admission control for one pool of upstreams: slots and a fair queue."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import TYPE_CHECKING, NamedTuple

from snipebend.routing.fair_queue import FairQueue
from snipebend.routing.messages import (
    Admitted,
    Dispatched,
    Queued,
    RefusalReason,
    Refused,
    RefusedTicket,
)
from snipebend.routing.rates import DrainRate
from snipebend.routing.retry_after import retry_after

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from snipebend.fleet.model import Priority
    from snipebend.routing.fair_queue import FlowWeights
    from snipebend.routing.messages import Admission, Ticket

#: Deadlines of removed tickets that may remain in the heap before a compaction.
MAX_STALE_DEADLINES = 64
#: Longest time in the queue, as a share of the mean holding time of requests.
WAIT_SHARE = 0.25
#: A request can always wait for this time ...
MIN_WAIT_S = 0.25
#: ... and until this many other requests are done, however small the pool is.
MIN_QUEUE_TURNS = 2


class QueueClass(NamedTuple):
    """The priority of a request, and the weights of its queue flow."""

    priority: Priority
    weights: FlowWeights


class PoolGate:
    """Admits requests to one pool while slots are free, and queues the rest.

    The measured drain rate decides whether a request would wait too long.
    """

    def __init__(self) -> None:
        """Create a gate without slots, as for a pool without upstreams."""
        self.queue = FairQueue()
        self.drain_rate = DrainRate()
        self.slots: float = 0
        self._admitted: dict[int, float] = {}
        self._deadlines: list[tuple[float, int]] = []

    @property
    def admitted(self) -> int:
        """Return the number of dispatched tickets that are not closed."""
        return len(self._admitted)

    def admit(
        self, ticket: Ticket, queue_class: QueueClass, now: float, rng: Random
    ) -> Admission:
        """Admit, queue or refuse a request."""
        if self.admitted < self.slots and not self.queue:
            self._admitted[ticket.number] = now
            return Admitted(ticket)
        refusal = self._check_queue(ticket, queue_class, now, rng)
        if refusal is not None:
            return refusal
        self.queue.push(ticket, queue_class.weights)
        deadline = (self._latest_start(ticket), ticket.number)
        heappush(self._deadlines, deadline)
        return Queued(ticket)

    def dispatch(self, now: float, rng: Random) -> Dispatched:
        """Return the tickets to dispatch now, and the expired ones."""
        refused = tuple(self._expire(now, rng))
        admitted = []
        while self.admitted < self.slots:
            ticket = self.queue.pop()
            if ticket is None:
                break
            self._admitted[ticket.number] = now
            admitted.append(ticket)
        return Dispatched(tuple(admitted), refused)

    def close(self, number: int, now: float) -> bool:
        """Close a ticket; return whether it was open."""
        admitted_at = self._admitted.pop(number, None)
        if admitted_at is not None:
            self.drain_rate.record_completion(now - admitted_at, now)
            return True
        return self.queue.remove(number) is not None

    def refuse_all(self) -> Dispatched:
        """Refuse all queued tickets: the fleet has dropped the target."""
        waiting = iter(self.queue.pop, None)
        refusal = Refused(RefusalReason.UNKNOWN_TARGET)
        refused = tuple(RefusedTicket(ticket, refusal) for ticket in waiting)
        return Dispatched(refused=refused)

    def backlog_s(self, now: float) -> float:
        """Return the estimated time until the current queue is drained."""
        drain = self.drain_rate.requests_per_s(self.admitted, now)
        return (len(self.queue) + 1) / drain if drain else 0

    def _check_queue(
        self, ticket: Ticket, queue_class: QueueClass, now: float, rng: Random
    ) -> Refused | None:
        backlog = self.backlog_s(now)
        wait = min(backlog, self._flow_wait_s(ticket, queue_class, now))
        if now + wait > self._latest_start(ticket):
            return Refused(RefusalReason.DEADLINE, retry_after(backlog, rng))
        if self._has_room(ticket, queue_class):
            return None
        return Refused(RefusalReason.QUEUE_FULL, retry_after(backlog, rng))

    def _latest_start(self, ticket: Ticket) -> float:
        """Return the latest time at which the ticket may still start.

        Under sustained overload a long queue has no more throughput than a
        short one; it only delays every request.
        """
        drain = self.drain_rate.requests_per_s(self.admitted, ticket.issued_at)
        if not drain:
            return ticket.req.deadline_at
        longest = max(
            MIN_WAIT_S,
            WAIT_SHARE * self.drain_rate.hold_s,
            MIN_QUEUE_TURNS / drain,
        )
        return min(ticket.req.deadline_at, ticket.issued_at + longest)

    def _flow_wait_s(
        self, ticket: Ticket, queue_class: QueueClass, now: float
    ) -> float:
        drain = self.drain_rate.requests_per_s(self.admitted, now)
        if not drain:
            return 0
        flow = (ticket.req.priority, ticket.req.workspace)
        share = self.queue.share(flow, queue_class.weights)
        return (self.queue.length(*flow) + 1) / (drain * share)

    def _has_room(self, ticket: Ticket, queue_class: QueueClass) -> bool:
        """Return whether the workspace may queue one more request.

        A workspace may occupy at most as many positions as are still free, so
        that no workspace fills the queue alone (dynamic thresholds, Choudhury
        and Hahne, 1998).
        """
        req = ticket.req
        free = queue_class.priority.queue_limit - self.queue.length(
            req.priority
        )
        held = self.queue.length(req.priority, req.workspace)
        return free > held

    def _expire(self, now: float, rng: Random) -> Iterable[RefusedTicket]:
        while self._deadlines and self._deadlines[0][0] <= now:
            _, number = heappop(self._deadlines)
            ticket = self.queue.remove(number)
            if ticket is None:
                continue
            retry_after_s = retry_after(self.backlog_s(now), rng)
            yield RefusedTicket(
                ticket, Refused(RefusalReason.DEADLINE, retry_after_s)
            )
        if len(self._deadlines) > 2 * len(self.queue) + MAX_STALE_DEADLINES:
            self._deadlines = [
                deadline
                for deadline in self._deadlines
                if deadline[1] in self.queue
            ]
            self._deadlines.sort()
