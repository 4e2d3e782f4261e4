"""The bounded subset of upstreams that one entry watches and uses."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

from snipebend.hashing.rendezvous import heaviest

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

#: Up to this many upstreams of a pool, every entry watches all.
SMALL_POOL = 20
#: Entries that watch each upstream on average. The number for one upstream
#: is about Poisson: its deviation is one in the root of this, here 16 %.
WATCHERS = 40
_EXACT_BITS = 4


def subset_size(entries: int, upstreams: int) -> int:
    """Return how many upstreams of one pool an entry watches."""
    if upstreams <= SMALL_POOL:
        return upstreams
    even = ceil(WATCHERS * upstreams / max(1, entries))
    return min(upstreams, max(SMALL_POOL, even))


def choose_subset(
    entry: str,
    entries: int,
    upstreams: Sequence[str],
    bound: int | None = None,
) -> frozenset[str]:
    """Return the upstreams of one pool that an entry watches.

    Rendezvous hashing: when an upstream comes or goes, only the entries that
    watch it change their subset. There are never more than ``bound``.
    """
    size = subset_size(entries, len(upstreams))
    if bound is not None:
        size = min(size, bound)
    if size >= len(upstreams):
        return frozenset(upstreams)
    return frozenset(heaviest(upstreams, entry, size))


def round_entries(entries: int) -> int:
    """Return a count that doesn't change with each entry.

    It is rounded down, so that subsets only get larger by it: exact below 16,
    then to steps of 6 to 12 %.
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
