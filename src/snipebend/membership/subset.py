"""Selects the bounded subset of upstreams that one entry watches and uses."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

from snipebend.hashing.rendezvous import select_heaviest

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

#: Every entry watches all upstreams of pools up to this size.
SMALL_POOL = 20
#: Mean number of entries that watch each upstream. The number for one upstream
#: is approximately Poisson distributed: its relative standard deviation is one
#: over the square root of the mean, here 16 %.
MEAN_WATCHERS = 40
_EXACT_BITS = 4


def subset_size(entries: int, upstreams: int) -> int:
    """Return how many upstreams of one pool an entry watches."""
    if upstreams <= SMALL_POOL:
        return upstreams
    equal_share = ceil(MEAN_WATCHERS * upstreams / max(1, entries))
    return min(upstreams, max(SMALL_POOL, equal_share))


def choose_subset(
    entry: str,
    entries: int,
    upstreams: Sequence[str],
    bound: int | None = None,
) -> frozenset[str]:
    """Return the upstreams of one pool that an entry watches.

    Uses rendezvous hashing: when an upstream joins or leaves, only the entries
    that watch it change their subset. The subset never exceeds ``bound``.
    """
    size = subset_size(entries, len(upstreams))
    if bound is not None:
        size = min(size, bound)
    if size >= len(upstreams):
        return frozenset(upstreams)
    return frozenset(select_heaviest(upstreams, entry, size))


def round_entries(entries: int) -> int:
    """Return a rounded count that does not change with every entry.

    It is rounded down, so that rounding can only enlarge subsets. Counts below
    16 are exact, larger ones are rounded in steps of 6 to 12 %.
    """
    step = 1 << max(0, entries.bit_length() - _EXACT_BITS)
    return entries - entries % step


def count_watchers(
    entries: Iterable[str], upstreams: Sequence[str]
) -> dict[str, int]:
    """Return how many entries watch each upstream."""
    names = tuple(entries)
    watchers = dict.fromkeys(upstreams, 0)
    for entry in names:
        for upstream in choose_subset(entry, len(names), upstreams):
            watchers[upstream] += 1
    return watchers
