"""The room that the upstreams of a service have for further calls.

Performs no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from snipebend.relay.group_bounds import GroupLoad, bound_calls

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from snipebend.hosts.model import EngineProfile
    from snipebend.relay.upstream_groups import UpstreamGroup
    from snipebend.relay.upstreams import Upstream


class ServiceRoom(NamedTuple):
    """What the upstreams of a service can begin now, for all entries."""

    #: Calls that may begin; 0: none.
    free: int = 0
    #: Calls in progress of all entries, and how many may run at once.
    calls: int = 0
    bound: int = 0
    #: Calls that may begin in the places of others that have ended: calls that
    #: wait at full upstreams don't count against these.
    free_places: int = 0
    #: Whether upstreams are open, but all of them in groups that have stopped.
    is_down: bool = False


@dataclass(slots=True)
class _Sums:
    """Sums over the open ranks of one group, or the upstreams without one."""

    group: UpstreamGroup | None
    ranks: int = 0
    slots: int = 0
    calls: int = 0
    #: Those of them that run; the others wait at their upstreams.
    running: int = 0
    free: int = 0

    def add(self, upstream: Upstream, now: float, *, accepts: bool) -> None:
        self.ranks += 1
        self.slots += upstream.record.slots
        self.calls += upstream.calls
        self.running += min(upstream.record.slots, upstream.calls)
        if accepts:
            self.free += max(0, upstream.free_slots(now))

    def room(
        self, allowed_pause_s: float, engine: EngineProfile | None, now: float
    ) -> ServiceRoom:
        if self.group is None:
            return ServiceRoom(self.free, self.calls, self.slots, self.free)
        load = GroupLoad(
            self.ranks,
            self.slots,
            self.calls,
            self.group.pass_time_s(now),
            allowed_pause_s,
        )
        bound = bound_calls(load, engine)
        free = max(0, min(self.free, bound - self.calls))
        free_places = max(0, min(self.free, bound - self.running))
        return ServiceRoom(free, self.calls, bound, free_places)


def measure_room(
    upstreams: Iterable[Upstream],
    allowed_pause_s: float,
    engine: EngineProfile | None,
    now: float,
    is_within_limits: Callable[[Upstream], bool],
) -> ServiceRoom:
    """Return the room of these upstreams.

    An upstream that works alone runs its slots; the ranks of a group run what
    keeps the passes of all within the allowed pause. A group that has stopped
    has no room, and an upstream whose limits allow no call has no free slot.
    """
    sums: dict[str, _Sums] = {}
    stopped_calls = 0
    has_stopped = False
    for upstream in upstreams:
        if not upstream.is_open(now):
            continue
        group = upstream.group
        if group is not None and group.is_down(now):
            has_stopped = True
            stopped_calls += upstream.calls
            continue
        name = '' if group is None else group.name
        if name not in sums:
            sums[name] = _Sums(group)
        sums[name].add(upstream, now, accepts=is_within_limits(upstream))
    rooms = [one.room(allowed_pause_s, engine, now) for one in sums.values()]
    return ServiceRoom(
        sum(room.free for room in rooms),
        sum(room.calls for room in rooms) + stopped_calls,
        sum(room.bound for room in rooms),
        sum(room.free_places for room in rooms),
        has_stopped and not rooms,
    )
