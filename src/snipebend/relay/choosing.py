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
    #: Identities that hold their group back. They get no work while there are
    #: others, even if these are full: each request there slows all ranks.
    slow: Collection[str] = ()


def choose(
    candidates: Iterable[Upstream], wish: Wish, now: float, rng: Random
) -> Upstream | None:
    """Return the open upstream with the least work; none: all are full.

    Work counts as a share of the slots. Among equals the own data center goes
    first, then chance: entries that always took the first would meet there.
    """
    opened = [one for one in candidates if one.is_open(now)]
    sound = [one for one in opened if one.record.identity not in wish.slow]
    ranked = [
        (_rank(upstream, wish, rng), upstream)
        for upstream in sound or opened
        if upstream.record.identity not in wish.tried and _has_room(upstream)
    ]
    if not ranked:
        return None
    return min(ranked, key=lambda pair: pair[0])[1]


def _has_room(upstream: Upstream) -> bool:
    limit = upstream.record.slots * (1 + WAITING_SHARE)
    return upstream.calls < limit


def _rank(
    upstream: Upstream, wish: Wish, rng: Random
) -> tuple[float, bool, float]:
    slots = max(1, upstream.record.slots)
    is_far = upstream.record.data_center != wish.data_center
    return (upstream.calls / slots, is_far, rng.random())
