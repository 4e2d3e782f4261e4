"""Selects the upstreams that one watcher of the directory receives.

The pools are built once per membership change, for all watchers. An unchanged
pool stays the same object, so that a watcher selects again only from the pools
that changed. Performs no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from snipebend.membership.messages import Phase
from snipebend.membership.subset import choose_subset, round_entries

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from snipebend.membership.messages import Announcement, DirectoryRequest


class Pool(NamedTuple):
    """The serving and the leaving upstreams of one policy, sorted."""

    serving: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()


Pools = dict[str, Pool]


def group_pools(members: Iterable[Announcement], previous: Pools) -> Pools:
    """Return the pools by policy; unchanged ones are the same objects."""
    serving: dict[str, list[str]] = {}
    leaving: dict[str, list[str]] = {}
    for member in members:
        phase = serving if member.phase is Phase.SERVING else leaving
        phase.setdefault(member.policy, []).append(member.upstream)
    pools: Pools = {}
    for policy in sorted(serving.keys() | leaving.keys()):
        pool = Pool(
            tuple(sorted(serving.get(policy, ()))),
            tuple(sorted(leaving.get(policy, ()))),
        )
        is_known = previous.get(policy) == pool
        pools[policy] = previous[policy] if is_known else pool
    return pools


class _PoolChoice(NamedTuple):
    pool: Pool
    names: frozenset[str]


class WatcherSubset:
    """The selection of one watcher, cached until its inputs change."""

    def __init__(self, req: DirectoryRequest) -> None:
        """Create the selection for the process and bound of a request."""
        self._entry = req.process
        self._bound = req.max_upstreams
        self._entries = 0
        self._pools: Mapping[str, Pool] | None = None
        self._choices: dict[str, _PoolChoice] = {}
        self._names: tuple[str, ...] = ()

    def select(
        self, pools: Mapping[str, Pool], entries: int
    ) -> tuple[str, ...]:
        """Return the upstreams to send, given the number of entries."""
        rounded = round_entries(entries)
        if rounded != self._entries:
            self._choices = {}
        elif pools is self._pools:
            return self._names
        self._entries = rounded
        self._pools = pools
        self._choices = {
            policy: self._choose(policy, pool) for policy, pool in pools.items()
        }
        self._names = tuple(
            name
            for chosen in self._choices.values()
            for name in sorted(chosen.names)
        )
        return self._names

    def _choose(self, policy: str, pool: Pool) -> _PoolChoice:
        known = self._choices.get(policy)
        if known is not None and known.pool is pool:
            return known
        names = self._select_subset(pool.serving)
        if pool.leaving:
            # Leaving upstreams do not count towards the bound, but are still
            # sent.
            including_leaving = self._select_subset(pool.serving + pool.leaving)
            names |= including_leaving.intersection(pool.leaving)
        return _PoolChoice(pool, names)

    def _select_subset(self, upstreams: tuple[str, ...]) -> frozenset[str]:
        if not self._bound:
            return frozenset(upstreams)
        return choose_subset(self._entry, self._entries, upstreams, self._bound)
