"""Selects the upstream for one call.

Performs no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from snipebend.relay.upstream_views import view_candidates

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from snipebend.relay.upstream_views import CallRequirements, UpstreamView
    from snipebend.relay.upstreams import Upstream


#: Upstreams that a sample has at least.
MIN_SAMPLE = 3


class NoCapacity(NamedTuple):
    """Why no upstream accepts a call, when the end of it is known."""

    #: For the caller and the log.
    detail: str
    #: Seconds until the first upstream may accept calls.
    retry_after_s: float


class _SortKey(NamedTuple):
    """Reasons against an upstream, the most important first."""

    is_down: bool
    is_too_slow: bool
    is_avoided: bool
    is_slow: bool
    #: Steps down from a warm upstream that runs a call at once.
    warmth_steps: int
    would_wait: bool
    load: float
    is_cold: bool
    is_remote: bool
    tie_breaker: float


def select_upstream(
    candidates: Iterable[Upstream],
    requirements: CallRequirements,
    now: float,
    rng: Random,
) -> Upstream | None:
    """Return the least loaded open upstream, or None if all are full.

    An upstream whose group is down comes last, and before it those whose group
    is too slow for any stream to be on time: with one slow rank of eight, steps
    took 0.4 s instead of 0.06 s, and a stream there ends after its caller's
    timeout. Next come upstreams that have refused lately, since their few calls
    do not show that. A cold upstream comes after warm ones that have slots
    left, and before those that would queue the call; in a group, whose fullest
    rank delays all, only after warm ranks with equal load. Load is the number
    of calls relative to the slots. Among equals the same data centre is
    preferred, then the choice is random: entries that all picked the first one
    would overload it. Where distance has a weight, an upstream of the same data
    centre is preferred until it has so many calls more, or no free slot.
    Entries would also meet at the one of which the fewest calls are known,
    while few are free: then ``sample_share`` of them are compared.
    """
    views = view_candidates(candidates, requirements, now)
    if not views:
        return None
    if requirements.sample_share:
        size = max(MIN_SAMPLE, round(requirements.sample_share * len(views)))
        views = _sample(views, size, rng)
    ranked = [(_sort_key(view, rng), view.upstream) for view in views]
    return min(ranked, key=lambda pair: pair[0])[1]


def earliest_backoff_end(
    upstreams: Iterable[Upstream], now: float
) -> float | None:
    """Return when the first backoff ends, or None if an upstream is open.

    Also returns None if no available upstream is backing off.
    """
    ends: list[float] = []
    for upstream in upstreams:
        if upstream.is_open(now):
            return None
        if upstream.is_backing_off(now):
            ends.append(upstream.backoff_until)
    return min(ends, default=None)


def _sample(
    views: list[UpstreamView], size: int, rng: Random
) -> list[UpstreamView]:
    """Return some of the views that nothing but their load speaks against."""
    good = [
        view
        for view in views
        if not (view.is_down or view.is_too_slow)
        and not (view.is_avoided or view.is_slow)
    ]
    if len(good) > size:
        return rng.sample(good, size)
    return good or views


def _sort_key(view: UpstreamView, rng: Random) -> _SortKey:
    return _SortKey(
        view.is_down,
        view.is_too_slow,
        view.is_avoided,
        view.is_slow,
        _warmth_steps(view),
        view.would_wait,
        view.load,
        view.is_cold,
        view.is_remote,
        rng.random(),
    )


def _warmth_steps(view: UpstreamView) -> int:
    if view.upstream.group is not None:
        return 0
    if view.load >= 1:
        return 2
    return int(view.is_cold)
