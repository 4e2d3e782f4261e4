"""A queue that shares by weight, by priority first and then by workspace.

Start-time fair queueing (Goyal, Vin and Cheng, 1996) on both levels: each
turn goes to the flow with the least start tag, and each flow that has work
gets its share of turns however much the others ask for.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from snipebend.routing.messages import Ticket

#: Removed tickets that one workspace's line may still hold.
MAX_REMOVED = 64


class FairScheduler:
    """Whose turn it is among the flows that have work."""

    __slots__ = ('_finish', '_heap', '_virtual', '_weights')

    def __init__(self) -> None:
        """Start without flows."""
        self._virtual: float = 0
        self._finish: dict[str, float] = {}
        self._weights: dict[str, float] = {}
        self._heap: list[tuple[float, str]] = []

    def __len__(self) -> int:
        """Return the number of flows that have work."""
        return len(self._heap)

    @property
    def weight(self) -> float:
        """Return the sum of the weights of the flows that have work."""
        return sum(self._weights.values())

    def activate(self, flow: str, weight: float) -> None:
        """Let a flow take part; one that idled gets no credit for it."""
        if flow in self._weights:
            return
        self._weights[flow] = weight
        start = max(self._virtual, self._finish.get(flow, float()))
        heappush(self._heap, (start, flow))

    def peek(self) -> str:
        """Return the flow whose turn it is."""
        return self._heap[0][1]

    def charge(self) -> None:
        """Count one turn to the flow that `peek` returns."""
        start, flow = heappop(self._heap)
        self._virtual = start
        finish = start + 1 / self._weights[flow]
        self._finish[flow] = finish
        heappush(self._heap, (finish, flow))

    def retire(self) -> None:
        """Take the flow that `peek` returns out: it has no more work."""
        _, flow = heappop(self._heap)
        self._weights.pop(flow)
        if not self._heap:
            # Nobody is left whom an old finish tag could put at a loss.
            self._finish.clear()


class FlowWeights(NamedTuple):
    """The weights of a request's priority and workspace."""

    priority: float
    workspace: float


@dataclass(slots=True)
class _PriorityClass:
    """The flows of one priority; ``live`` counts tickets not removed."""

    live: int = 0
    turns: FairScheduler = field(default_factory=FairScheduler)
    flows: dict[str, deque[Ticket]] = field(default_factory=dict)
    lengths: dict[str, int] = field(default_factory=dict)


class FairQueue:
    """Tickets that wait for one pool."""

    def __init__(self) -> None:
        """Start empty."""
        self._turns = FairScheduler()
        self._classes: dict[str, _PriorityClass] = {}
        self._live: dict[int, Ticket] = {}

    def __len__(self) -> int:
        """Return the number of tickets that wait."""
        return len(self._live)

    def __contains__(self, number: int) -> bool:
        """Tell whether a ticket waits."""
        return number in self._live

    def length(self, priority: str, workspace: str = '') -> int:
        """Return how many tickets of a priority (and workspace) wait."""
        members = self._classes.get(priority)
        if members is None:
            return 0
        if workspace:
            return members.lengths.get(workspace, 0)
        return members.live

    def share(self, req_flow: tuple[str, str], weights: FlowWeights) -> float:
        """Return the share of turns that a flow gets while all wait."""
        priority, workspace = req_flow
        members = self._classes.get(priority)
        outer = self._turns.weight
        inner = members.turns.weight if members else float()
        if not (members and members.live):
            outer += weights.priority
        if not self.length(priority, workspace):
            inner += weights.workspace
        return weights.priority / outer * weights.workspace / inner

    def push(self, ticket: Ticket, weights: FlowWeights) -> None:
        """Let a ticket wait behind those of its workspace."""
        req = ticket.req
        members = self._classes.setdefault(req.priority, _PriorityClass())
        flow = members.flows.setdefault(req.workspace, deque())
        waiting = members.lengths.get(req.workspace, 0)
        if len(flow) > waiting + MAX_REMOVED:
            self._compact(flow)
        flow.append(ticket)
        members.live += 1
        members.lengths[req.workspace] = waiting + 1
        members.turns.activate(req.workspace, weights.workspace)
        self._turns.activate(req.priority, weights.priority)
        self._live[ticket.number] = ticket

    def remove(self, number: int) -> Ticket | None:
        """Take a ticket out of turn; its place fades when its turn comes."""
        ticket = self._live.pop(number, None)
        if ticket is not None:
            self._discount(ticket)
        return ticket

    def pop(self) -> Ticket | None:
        """Return the ticket whose turn it is."""
        while self._turns:
            members = self._classes[self._turns.peek()]
            ticket = self._pop_of(members)
            if ticket is None:
                self._turns.retire()
                continue
            self._turns.charge()
            return ticket
        return None

    def _pop_of(self, members: _PriorityClass) -> Ticket | None:
        while members.turns:
            workspace = members.turns.peek()
            ticket = self._next_live(members.flows[workspace])
            if ticket is None:
                members.turns.retire()
                members.flows.pop(workspace)
                members.lengths.pop(workspace, None)
                continue
            members.turns.charge()
            self._live.pop(ticket.number)
            self._discount(ticket)
            return ticket
        return None

    def _next_live(self, flow: deque[Ticket]) -> Ticket | None:
        while flow:
            ticket = flow.popleft()
            if ticket.number in self._live:
                return ticket
        return None

    def _compact(self, flow: deque[Ticket]) -> None:
        kept = [ticket for ticket in flow if ticket.number in self._live]
        flow.clear()
        flow.extend(kept)

    def _discount(self, ticket: Ticket) -> None:
        members = self._classes[ticket.req.priority]
        members.live -= 1
        members.lengths[ticket.req.workspace] -= 1
