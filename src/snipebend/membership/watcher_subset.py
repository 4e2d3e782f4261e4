"""Which upstreams one watcher of the directory is shown (pure).

The pools are made once for all watchers and each change of the members. A pool
that didn't change stays the same object, so that a watcher chooses anew only
in the pools that did.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from snipebend.membership.messages import Phase
from snipebend.membership.subset import choose_subset, round_entries

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from snipebend.membership.messages import Announcement, DirectoryRequest


class Pool(NamedTuple):
    """The upstreams of one policy, sorted: those in service, those leaving."""

    serving: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()


Pools = dict[str, Pool]


def group_pools(members: Iterable[Announcement], before: Pools) -> Pools:
    """Return the pools by policy; those that are as before are kept."""
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
        is_known = before.get(policy) == pool
        pools[policy] = before[policy] if is_known else pool
    return pools


class _Chosen(NamedTuple):
    pool: Pool
    names: frozenset[str]


class WatcherSubset:
    """The choice of one watcher, kept while nothing changes that it needs."""

    def __init__(self, req: DirectoryRequest) -> None:
        """Keep who watches and how much it takes."""
        self._entry = req.process
        self._bound = req.max_upstreams
        self._entries = 0
        self._pools: Mapping[str, Pool] | None = None
        self._chosen: dict[str, _Chosen] = {}
        self._names: tuple[str, ...] = ()

    def names(self, pools: Mapping[str, Pool], entries: int) -> tuple[str, ...]:
        """Return the upstreams to show, by the number of entries."""
        rounded = round_entries(entries)
        if rounded != self._entries:
            self._chosen = {}
        elif pools is self._pools:
            return self._names
        self._entries = rounded
        self._pools = pools
        self._chosen = {
            policy: self._choose(policy, pool) for policy, pool in pools.items()
        }
        self._names = tuple(
            name
            for chosen in self._chosen.values()
            for name in sorted(chosen.names)
        )
        return self._names

    def _choose(self, policy: str, pool: Pool) -> _Chosen:
        known = self._chosen.get(policy)
        if known is not None and known.pool is pool:
            return known
        names = self._pick(pool.serving)
        if pool.leaving:
            # Those that leave don't take a place, but are still shown.
            everyone = self._pick(pool.serving + pool.leaving)
            names |= everyone.intersection(pool.leaving)
        return _Chosen(pool, names)

    def _pick(self, upstreams: tuple[str, ...]) -> frozenset[str]:
        if not self._bound:
            return frozenset(upstreams)
        return choose_subset(self._entry, self._entries, upstreams, self._bound)
