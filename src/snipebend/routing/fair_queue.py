"""A weighted fair queue over priorities, and over workspaces within them.

Both levels use start-time fair queueing (Goyal, Vin and Cheng, 1996): the flow
with the lowest start tag is served next, and each backlogged flow gets its
share however much the other flows request.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from snipebend.routing.messages import Ticket

#: Removed tickets that may remain in a workspace's queue before a compaction.
MAX_REMOVED = 64


class FairScheduler:
    """Selects the next flow among those that are backlogged."""

    __slots__ = ('_finish_tags', '_heap', '_virtual_time', '_weights')

    def __init__(self) -> None:
        """Create a scheduler without flows."""
        self._virtual_time: float = 0
        self._finish_tags: dict[str, float] = {}
        self._weights: dict[str, float] = {}
        self._heap: list[tuple[float, str]] = []

    def __len__(self) -> int:
        """Return the number of backlogged flows."""
        return len(self._heap)

    @property
    def weight(self) -> float:
        """Return the sum of the weights of the backlogged flows."""
        return sum(self._weights.values())

    def activate(self, flow: str, weight: float) -> None:
        """Add a flow; it gets no credit for the time it was idle."""
        if flow in self._weights:
            return
        self._weights[flow] = weight
        start = max(self._virtual_time, self._finish_tags.get(flow, float()))
        heappush(self._heap, (start, flow))

    def peek(self) -> str:
        """Return the next flow."""
        return self._heap[0][1]

    def charge(self, work: float = 1) -> None:
        """Charge a turn, and the work done in it, to the flow of `peek`."""
        start, flow = heappop(self._heap)
        self._virtual_time = start
        finish = start + work / self._weights[flow]
        self._finish_tags[flow] = finish
        heappush(self._heap, (finish, flow))

    def retire(self) -> None:
        """Remove the flow that `peek` returns: its backlog is empty."""
        _, flow = heappop(self._heap)
        self._weights.pop(flow)
        if not self._heap:
            # No flow is left that an old finish tag would put at a loss.
            self._finish_tags.clear()


class FlowWeights(NamedTuple):
    """The weights of a request's priority and workspace."""

    priority: float
    workspace: float


@dataclass(slots=True)
class _PriorityClass:
    """The flows of one priority.

    ``waiting`` counts its queued tickets without the removed ones, ``lengths``
    does so per workspace.
    """

    waiting: int = 0
    scheduler: FairScheduler = field(default_factory=FairScheduler)
    flows: dict[str, deque[Ticket]] = field(default_factory=dict)
    lengths: dict[str, int] = field(default_factory=dict)


class FairQueue:
    """Queued tickets of one pool."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._scheduler = FairScheduler()
        self._classes: dict[str, _PriorityClass] = {}
        self._queued: dict[int, Ticket] = {}

    def __len__(self) -> int:
        """Return the number of queued tickets."""
        return len(self._queued)

    def __contains__(self, number: int) -> bool:
        """Return whether a ticket is queued."""
        return number in self._queued

    def length(self, priority: str, workspace: str = '') -> int:
        """Return how many tickets of a priority (and workspace) are queued."""
        priority_class = self._classes.get(priority)
        if priority_class is None:
            return 0
        if workspace:
            return priority_class.lengths.get(workspace, 0)
        return priority_class.waiting

    def share(self, flow: tuple[str, str], weights: FlowWeights) -> float:
        """Return the share of turns of a flow while all are backlogged."""
        priority, workspace = flow
        priority_class = self._classes.get(priority)
        priority_weights = self._scheduler.weight
        workspace_weights = (
            priority_class.scheduler.weight if priority_class else float()
        )
        if not (priority_class and priority_class.waiting):
            priority_weights += weights.priority
        if not self.length(priority, workspace):
            workspace_weights += weights.workspace
        return (
            weights.priority
            / priority_weights
            * weights.workspace
            / workspace_weights
        )

    def push(self, ticket: Ticket, weights: FlowWeights) -> None:
        """Queue a ticket behind those of its workspace."""
        req = ticket.req
        priority_class = self._classes.setdefault(
            req.priority, _PriorityClass()
        )
        flow = priority_class.flows.setdefault(req.workspace, deque())
        waiting = priority_class.lengths.get(req.workspace, 0)
        if len(flow) > waiting + MAX_REMOVED:
            self._compact(flow)
        flow.append(ticket)
        priority_class.waiting += 1
        priority_class.lengths[req.workspace] = waiting + 1
        priority_class.scheduler.activate(req.workspace, weights.workspace)
        self._scheduler.activate(req.priority, weights.priority)
        self._queued[ticket.number] = ticket

    def remove(self, number: int) -> Ticket | None:
        """Remove a ticket; its position is dropped when its turn comes."""
        ticket = self._queued.pop(number, None)
        if ticket is not None:
            self._discount(ticket)
        return ticket

    def pop(self) -> Ticket | None:
        """Remove and return the next ticket, or None if empty."""
        while self._scheduler:
            priority_class = self._classes[self._scheduler.peek()]
            ticket = self._pop_of(priority_class)
            if ticket is None:
                self._scheduler.retire()
                continue
            self._scheduler.charge()
            return ticket
        return None

    def _pop_of(self, priority_class: _PriorityClass) -> Ticket | None:
        while priority_class.scheduler:
            workspace = priority_class.scheduler.peek()
            ticket = self._next_queued(priority_class.flows[workspace])
            if ticket is None:
                priority_class.scheduler.retire()
                priority_class.flows.pop(workspace)
                priority_class.lengths.pop(workspace, None)
                continue
            priority_class.scheduler.charge()
            self._queued.pop(ticket.number)
            self._discount(ticket)
            return ticket
        return None

    def _next_queued(self, flow: deque[Ticket]) -> Ticket | None:
        while flow:
            ticket = flow.popleft()
            if ticket.number in self._queued:
                return ticket
        return None

    def _compact(self, flow: deque[Ticket]) -> None:
        kept = [ticket for ticket in flow if ticket.number in self._queued]
        flow.clear()
        flow.extend(kept)

    def _discount(self, ticket: Ticket) -> None:
        priority_class = self._classes[ticket.req.priority]
        priority_class.waiting -= 1
        priority_class.lengths[ticket.req.workspace] -= 1
