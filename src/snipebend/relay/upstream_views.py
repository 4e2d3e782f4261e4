"""What an upstream can take now, judged once for all decisions of an entry.

Choice, admission, retries and resumed streams read these views and no other
state of an upstream, so that they can't disagree. Performs no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

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
    #: Calls that one to another data centre counts for in addition; 0: data
    #: centres matter among equals only.
    remote_weight: float = 0


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
    is_remote = record.data_center != requirements.data_center
    distance = requirements.remote_weight * is_remote
    return UpstreamView(
        upstream,
        record.slots * (1 + QUEUE_SHARE) - calls,
        group is not None and group.is_down(now),
        group is not None
        and group.is_too_slow(now, requirements.allowed_pause_s),
        upstream.refusals.is_avoided(now),
        upstream.slow,
        (calls + distance) / max(1, record.slots),
        is_remote,
        requirements.remote_weight > 0 and calls >= record.slots,
    )


def view_candidates(
    upstreams: Iterable[Upstream], requirements: CallRequirements, now: float
) -> list[UpstreamView]:
    """Return the views of those upstreams that a call may go to now.

    A slow rank that delays the passes of its group is left out while the group
    has others, also if these are full.
    """
    candidates = [
        upstream
        for upstream in upstreams
        if upstream.is_open(now)
        and upstream.record.identity not in requirements.tried
    ]
    groups = {
        upstream.group.name
        for upstream in candidates
        if upstream.group is not None and not upstream.is_spared
    }
    return [
        view
        for upstream in candidates
        if not _is_left_out(upstream, groups)
        and (view := view_upstream(upstream, requirements, now)).free_calls > 0
    ]


def _is_left_out(upstream: Upstream, groups: Collection[str]) -> bool:
    """Return whether other ranks of its group, among these, do without it."""
    return (
        upstream.is_spared
        and upstream.group is not None
        and upstream.group.name in groups
    )
