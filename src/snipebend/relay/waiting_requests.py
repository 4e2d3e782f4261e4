"""The requests that wait at an entry, and which of them goes next.

Answers a load that exceeds the room of a service's upstreams. Performs no I/O.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import TYPE_CHECKING, NamedTuple, TypeVar

from snipebend.relay.served_shares import ServedShares
from snipebend.routing.fair_queue import FairScheduler

if TYPE_CHECKING:
    from collections.abc import Iterator

    from snipebend.relay.waiter import Waiter

Flow = TypeVar('Flow')

#: All workspaces of a priority get equal parts of the work.
_WORKSPACE_WEIGHT = 1.0


class _Entry(NamedTuple):
    """The order of requests of one workspace, the next one first."""

    is_new_call: bool
    is_new_caller: bool
    due_at: float
    number: int


class _LaneKey(NamedTuple):
    """What can be on time goes before what is late, then by urgency."""

    is_late: bool
    priority: int


@dataclass(slots=True)
class _Lane:
    """The waiting requests of one priority, fair between workspaces."""

    scheduler: FairScheduler = field(default_factory=FairScheduler)
    #: A heap for each workspace.
    flows: dict[str, list[_Entry]] = field(default_factory=dict)


class WaitingRequests:
    """The requests of one service that wait at this entry."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self.shares = ServedShares()
        self._waiters: dict[int, Waiter] = {}
        self._lanes: dict[_LaneKey, _Lane] = {}
        self._counts: Counter[int] = Counter()
        #: By priority and workspace.
        self._flow_counts: Counter[tuple[int, str]] = Counter()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiters)

    def __contains__(self, number: int) -> bool:
        """Return whether a request waits."""
        return number in self._waiters

    def __iter__(self) -> Iterator[Waiter]:
        """Iterate over the waiting requests, in no order that matters."""
        return iter(self._waiters.values())

    def counts(self) -> dict[int, int]:
        """Return the number of waiting requests by priority."""
        return dict(self._counts)

    def punctual_counts(self, now: float) -> dict[int, int]:
        """Return the requests that can be on time, by priority."""
        return dict(
            Counter(
                waiter.priority
                for waiter in self._waiters.values()
                if now <= waiter.start_by
            )
        )

    def count_ahead(self, waiter: Waiter) -> int:
        """Return how many go before a request that was queued last.

        These are the more urgent ones and, of its own priority, as many of
        each workspace as wait of its own.
        """
        own = self._flow_counts[(waiter.priority, waiter.workspace)]
        ahead = 0
        for (priority, _), number in self._flow_counts.items():
            if priority < waiter.priority:
                ahead += number
            elif priority == waiter.priority:
                ahead += min(number, own)
        return ahead

    def push(self, waiter: Waiter, now: float) -> None:
        """Add a request."""
        self._waiters[waiter.number] = waiter
        self._counts[waiter.priority] += 1
        self._flow_counts[(waiter.priority, waiter.workspace)] += 1
        self._push_to_lane(waiter, now)

    def remove(self, number: int) -> Waiter | None:
        """Remove a request; its place in a lane is dropped when it is met."""
        waiter = self._waiters.pop(number, None)
        if waiter is not None:
            flow = (waiter.priority, waiter.workspace)
            _decrement(self._counts, waiter.priority)
            _decrement(self._flow_counts, flow)
        return waiter

    def next(self, now: float) -> Waiter | None:
        """Return the request that goes next, which stays in the queue."""
        key = self._next_lane(now)
        if key is None:
            return None
        lane = self._lanes[key]
        return self._waiters[lane.flows[lane.scheduler.peek()][0][-1]]

    def pop(self, now: float) -> Waiter | None:
        """Remove and return the request that goes next."""
        key = self._next_lane(now)
        if key is None:
            return None
        lane = self._lanes[key]
        flow = lane.flows[lane.scheduler.peek()]
        waiter = self.remove(heappop(flow)[-1])
        if waiter is not None:
            lane.scheduler.charge(waiter.work)
        return waiter

    def _push_to_lane(self, waiter: Waiter, now: float) -> None:
        is_late = now > waiter.start_by
        lane = self._lanes.setdefault(
            _LaneKey(is_late, waiter.priority), _Lane()
        )
        due_at = waiter.deadline if is_late else waiter.start_by
        entry = _Entry(
            not waiter.is_continued,
            not waiter.has_returned,
            due_at,
            waiter.number,
        )
        heappush(lane.flows.setdefault(waiter.workspace, []), entry)
        lane.scheduler.activate(waiter.workspace, _WORKSPACE_WEIGHT)

    def _next_lane(self, now: float) -> _LaneKey | None:
        """Return the lane whose first request goes next."""
        for is_late in (False, True):
            keys = [
                key
                for key in tuple(self._lanes)
                if key.is_late is is_late and self._settle(key, now)
            ]
            if keys:
                priority = self.shares.choose({key.priority for key in keys})
                return _LaneKey(is_late, priority)
        return None

    def _settle(self, key: _LaneKey, now: float) -> bool:
        """Drop or move what can't be first; return whether any is left."""
        lane = self._lanes[key]
        while lane.scheduler:
            workspace = lane.scheduler.peek()
            flow = lane.flows[workspace]
            if not flow:
                lane.scheduler.retire()
                lane.flows.pop(workspace)
                continue
            waiter = self._waiters.get(flow[0][-1])
            if waiter is None:
                heappop(flow)
            elif not key.is_late and now > waiter.start_by:
                heappop(flow)
                self._push_to_lane(waiter, now)
            else:
                return True
        self._lanes.pop(key)
        return False


def _decrement(counts: Counter[Flow], flow: Flow) -> None:
    counts[flow] -= 1
    if not counts[flow]:
        counts.pop(flow)
