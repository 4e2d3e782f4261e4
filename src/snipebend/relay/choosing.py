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
    #: Identities that have been tried already.
    tried: Collection[str] = ()


def choose(
    candidates: Iterable[Upstream], wish: Wish, now: float, rng: Random
) -> Upstream | None:
    """Return the open upstream with the least work; none: all are full.

    One whose group is down, or that holds its group back, comes last. Work
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


def _has_room(upstream: Upstream) -> bool:
    limit = upstream.record.slots * (1 + WAITING_SHARE)
    return upstream.calls < limit


def _rank(
    upstream: Upstream, wish: Wish, now: float, rng: Random
) -> tuple[bool, bool, float, bool, float]:
    slots = max(1, upstream.record.slots)
    is_far = upstream.record.data_center != wish.data_center
    group = upstream.group
    is_down = group is not None and group.is_down(now)
    return (
        is_down,
        upstream.slow,
        upstream.calls / slots,
        is_far,
        rng.random(),
    )
