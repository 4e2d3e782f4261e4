"""What an upstream can take now, judged once for all decisions of an entry.

Choice, admission, retries and resumed streams read these views and no other
state of an upstream, so that they can't disagree. Performs no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from snipebend.relay.cold_upstreams import ColdUpstreams
    from snipebend.relay.upstreams import Upstream

#: Calls that may queue at an upstream, as a share of its slots: it starts a
#: queued call without the round trip that an entry would need.
QUEUE_SHARE = 1.0


class CallRequirements(NamedTuple):
    """What one call requires of its upstream."""

    data_center: str
    #: Longest pause in its stream that is still on time, in seconds; 0: any.
    allowed_pause_s: float = 0
    #: Identities of the upstreams that were called before.
    tried: Collection[str] = ()
    #: Names of the data centres whose upstreams get nothing.
    evacuated: Collection[str] = ()
    #: The limits of cold upstreams; None if the service has none.
    cold: ColdUpstreams | None = None
    #: Calls that one to another data centre counts for in addition; 0: data
    #: centres matter among equals only.
    remote_weight: float = 0
    #: Whether only a free slot counts as room, as with admission by room.
    needs_slot: bool = False
    #: Share of the upstreams with room of which the least loaded one is chosen,
    #: drawn at random; 0: all.
    sample_share: float = 0


class UpstreamView(NamedTuple):
    """One upstream as a decision about a call sees it."""

    upstream: Upstream
    #: Calls that it can begin now; 0 or less: it is full.
    free_calls: float
    #: Whether its group is known to have stopped.
    is_down: bool
    #: Whether its group makes every stream late.
    is_too_slow: bool
    #: Whether it has refused requests or broken calls lately.
    is_avoided: bool
    #: Whether it slows down its group.
    is_slow: bool
    #: Calls in progress relative to what it runs concurrently, with the weight
    #: of the distance.
    load: float
    #: Whether it is in another data centre than the entry.
    is_remote: bool
    #: Whether it accepts few calls a second now.
    is_cold: bool = False
    #: Whether a call would wait for others, where distance has a weight: no
    #: caller waits for the sake of a shorter distance.
    would_wait: bool = False


def view_upstream(
    upstream: Upstream, requirements: CallRequirements, now: float
) -> UpstreamView:
    """Return the view of an upstream that may be given work."""
    group = upstream.group
    record = upstream.record
    calls = upstream.calls
    free_calls = record.slots * (1 + QUEUE_SHARE) - calls
    if requirements.needs_slot:
        free_calls = upstream.free_slots(now)
    cold = requirements.cold
    is_cold = cold is not None and cold.is_cold(upstream, now)
    if cold is not None and is_cold and not cold.has_room(upstream, now):
        free_calls = 0
    is_remote = record.data_center != requirements.data_center
    distance = requirements.remote_weight * is_remote
    return UpstreamView(
        upstream,
        free_calls,
        group is not None and group.is_down(now),
        group is not None
        and group.is_too_slow(now, requirements.allowed_pause_s),
        upstream.refusals.is_avoided(now),
        upstream.slow,
        (calls + distance) / max(1, record.slots),
        is_remote,
        is_cold,
        requirements.remote_weight > 0 and calls >= record.slots,
    )


def list_candidates(
    upstreams: Iterable[Upstream], requirements: CallRequirements, now: float
) -> list[Upstream]:
    """Return those upstreams that a call may go to once they have room.

    Slow ranks that delay the passes of their group are left out while the group
    has others, also if these are full: with a call there, the streams of all
    ranks are late.
    """
    candidates = [
        upstream
        for upstream in upstreams
        if upstream.is_open(now)
        and upstream.record.identity not in requirements.tried
        and upstream.record.data_center not in requirements.evacuated
    ]
    groups = {
        one.group.name
        for one in candidates
        if one.group is not None and not one.is_spared
    }
    return [one for one in candidates if not _is_left_out(one, groups)]


def view_candidates(
    upstreams: Iterable[Upstream], requirements: CallRequirements, now: float
) -> list[UpstreamView]:
    """Return the views of those upstreams that a call may go to now."""
    return [
        view
        for upstream in list_candidates(upstreams, requirements, now)
        if (view := view_upstream(upstream, requirements, now)).free_calls > 0
    ]


def _is_left_out(upstream: Upstream, groups: Collection[str]) -> bool:
    """Return whether other ranks of its group, among these, do without it."""
    return (
        upstream.is_spared
        and upstream.group is not None
        and upstream.group.name in groups
    )
