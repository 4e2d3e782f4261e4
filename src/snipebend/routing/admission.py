"""Lets requests in to one pool of upstreams, by slots and a fair queue."""

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

#: Deadlines of tickets already gone that a gate may still hold.
MAX_PAST_DEADLINES = 64
#: A request may wait this share of the mean time that requests are held ...
WAIT_SHARE = 0.25
#: ... and this long in any case, ...
LEAST_WAIT_S = 0.25
#: ... and until so many others are done, however small the pool is.
LEAST_QUEUE = 2


class Place(NamedTuple):
    """What the queue needs to know of a request's priority and workspace."""

    priority: Priority
    weights: FlowWeights


class PoolGate:
    """Admission to one pool of upstreams: slots, fair queue, drain rate."""

    def __init__(self) -> None:
        """Start closed: a pool without upstreams has no slots."""
        self.queue = FairQueue()
        self.drain = DrainRate()
        self.slots: float = 0
        self._admitted: dict[int, float] = {}
        self._deadlines: list[tuple[float, int]] = []

    @property
    def admitted(self) -> int:
        """Return the number of tickets that are dispatched, not closed."""
        return len(self._admitted)

    def admit(
        self, ticket: Ticket, place: Place, now: float, rng: Random
    ) -> Admission:
        """Admit, queue or refuse at once."""
        if self.admitted < self.slots and not self.queue:
            self._admitted[ticket.number] = now
            return Admitted(ticket)
        refusal = self._refusal(ticket, place, now, rng)
        if refusal is not None:
            return refusal
        self.queue.push(ticket, place.weights)
        entry = (self._start_by(ticket), ticket.number)
        heappush(self._deadlines, entry)
        return Queued(ticket)

    def dispatch(self, now: float, rng: Random) -> Dispatched:
        """Return the tickets whose turn it is, and those that ran late."""
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
        """Forget a ticket; return whether it was known."""
        admitted_at = self._admitted.pop(number, None)
        if admitted_at is not None:
            self.drain.note(now - admitted_at, now)
            return True
        return self.queue.remove(number) is not None

    def refuse_all(self) -> Dispatched:
        """Refuse all that wait: the pool's target is gone from the fleet."""
        waiting = iter(self.queue.pop, None)
        refusal = Refused(RefusalReason.UNKNOWN_TARGET)
        refused = tuple(RefusedTicket(ticket, refusal) for ticket in waiting)
        return Dispatched(refused=refused)

    def backlog_s(self, now: float) -> float:
        """Return the span after which the present queue is worked off."""
        drain = self.drain.per_s(self.admitted, now)
        return (len(self.queue) + 1) / drain if drain else 0

    def _refusal(
        self, ticket: Ticket, place: Place, now: float, rng: Random
    ) -> Refused | None:
        backlog = self.backlog_s(now)
        wait = min(backlog, self._flow_wait_s(ticket, place, now))
        if now + wait > self._start_by(ticket):
            return Refused(RefusalReason.DEADLINE, retry_after(backlog, rng))
        if self._has_room(ticket, place):
            return None
        return Refused(RefusalReason.QUEUE_FULL, retry_after(backlog, rng))

    def _start_by(self, ticket: Ticket) -> float:
        """Return the moment up to which waiting makes sense.

        Under lasting overload a long queue serves no more requests than a
        short one, it only serves all of them late.
        """
        drain = self.drain.per_s(self.admitted, ticket.taken_at)
        if not drain:
            return ticket.req.deadline_at
        longest = max(
            LEAST_WAIT_S,
            WAIT_SHARE * self.drain.hold_s,
            LEAST_QUEUE / drain,
        )
        return min(ticket.req.deadline_at, ticket.taken_at + longest)

    def _flow_wait_s(self, ticket: Ticket, place: Place, now: float) -> float:
        drain = self.drain.per_s(self.admitted, now)
        if not drain:
            return 0
        flow = (ticket.req.priority, ticket.req.workspace)
        share = self.queue.share(flow, place.weights)
        return (self.queue.length(*flow) + 1) / (drain * share)

    def _has_room(self, ticket: Ticket, place: Place) -> bool:
        """Tell whether the queue has room for one more of the workspace.

        A workspace may hold as many places as are still free, so that no one
        fills the queue alone (dynamic thresholds, Choudhury and Hahne, 1998).
        """
        req = ticket.req
        free = place.priority.queue_limit - self.queue.length(req.priority)
        held = self.queue.length(req.priority, req.workspace)
        return free > held

    def _expire(self, now: float, rng: Random) -> Iterable[RefusedTicket]:
        while self._deadlines and self._deadlines[0][0] <= now:
            _, number = heappop(self._deadlines)
            ticket = self.queue.remove(number)
            if ticket is None:
                continue
            again = retry_after(self.backlog_s(now), rng)
            yield RefusedTicket(ticket, Refused(RefusalReason.DEADLINE, again))
        if len(self._deadlines) > 2 * len(self.queue) + MAX_PAST_DEADLINES:
            self._deadlines = [
                entry for entry in self._deadlines if entry[1] in self.queue
            ]
            self._deadlines.sort()
