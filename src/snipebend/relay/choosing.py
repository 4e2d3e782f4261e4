"""The choice of an upstream for one call (pure)."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable
    from random import Random

    from snipebend.relay.upstreams import Upstream

#: Calls beyond an upstream's slots that may wait at it, as a share of the
#: slots: it takes them up without the round trip that an entry would need.
WAITING_SHARE = 1.0


class Wish(NamedTuple):
    """What one call asks of its upstream."""

    data_center: str
    #: Seconds that its stream may pause and still be on time; 0: any.
    allowed_pause_s: float = 0
    #: Identities that have been tried already.
    tried: Collection[str] = ()


class NoRoom(NamedTuple):
    """Why no upstream takes a call, where it is known when one will."""

    #: For the caller and the log.
    detail: str
    #: Seconds until the first of them may.
    after_s: float


class _Rank(NamedTuple):
    """What speaks against an upstream, the weightiest first."""

    is_down: bool
    is_late: bool
    is_avoided: bool
    is_slow: bool
    load: float
    is_far: bool
    draw: float


def choose(
    candidates: Iterable[Upstream], wish: Wish, now: float, rng: Random
) -> Upstream | None:
    """Return the open upstream with the least work; none: all are full.

    One whose group is down comes last, before it those of groups whose passes
    make every stream late: with one slow rank of eight, passes took 0.4 s in
    place of 0.06 s, and a stream there is over after its caller's time. One
    that has refused lately follows, since its few calls don't show that. Work
    counts as a share of the slots. Among equals the own data center goes first,
    then chance: entries that always took the first would meet there.
    """
    ranked = [
        (_rank(upstream, wish, now, rng), upstream)
        for upstream in candidates
        if upstream.is_open(now)
        and upstream.record.identity not in wish.tried
        and _has_room(upstream)
    ]
    if not ranked:
        return None
    return min(ranked, key=lambda pair: pair[0])[1]


def first_end_of_rest(
    upstreams: Iterable[Upstream], now: float
) -> float | None:
    """Return when the first rest ends; none unless all rest that may serve."""
    ends: list[float] = []
    for upstream in upstreams:
        if upstream.is_open(now):
            return None
        if upstream.is_resting(now):
            ends.append(upstream.rests_until)
    return min(ends, default=None)


def _has_room(upstream: Upstream) -> bool:
    limit = upstream.record.slots * (1 + WAITING_SHARE)
    return upstream.calls < limit


def _rank(upstream: Upstream, wish: Wish, now: float, rng: Random) -> _Rank:
    group = upstream.group
    return _Rank(
        group is not None and group.is_down(now),
        group is not None and group.is_late(now, wish.allowed_pause_s),
        upstream.refusals.is_avoided(now),
        upstream.slow,
        upstream.calls / max(1, upstream.record.slots),
        upstream.record.data_center != wish.data_center,
        rng.random(),
    )
