"""How the control leader sees groups of engines: who answers, on which map."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple, Protocol

from snipebend.experts.rank_group_index import (
    RankGroupIndex,
    find_complete_group,
)
from snipebend.experts.sizes import first_map, fits

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from snipebend.experts.direct_orders import (
        RankCounts,
        RankOrder,
        RankReport,
        Reply,
    )
    from snipebend.experts.sizes import ExpertSizes
    from snipebend.experts.layer_state import LayerMap
    from snipebend.kernel.clock import Clock
    from snipebend.state.group_plans import GroupPlan
    from snipebend.state.roster import UpstreamRecord

#: Seconds for which a group that was seen whole is taken to be so.
SNAPSHOT_TTL_S = 1.0

#: Seconds before a replica that belongs to no group, as far as known, is asked
#: again: each question is paid for, and one that is gone leaves it unanswered.
QUERY_RETRY_S = 0.5

#: A rank counts as slow from here on: all ranks wait for it in every pass.
SLOW_RANK = 1.5


class EngineLink(Protocol):
    """The calls of engines, in the platform's form."""

    async def report(self, upstream: UpstreamRecord) -> RankReport | None:
        """Return what an engine says of itself; nothing without an answer."""

    async def counts(self, upstream: UpstreamRecord) -> RankCounts | None:
        """Return what an engine's requests chose."""

    async def held(
        self, upstream: UpstreamRecord
    ) -> tuple[tuple[int, ...], ...] | None:
        """Return the experts of an engine's map in force, by layer."""

    async def order(self, upstream: UpstreamRecord, order: RankOrder) -> Reply:
        """Give an order."""

    async def close(self) -> None:
        """Close the connections."""

    def load(self) -> None:
        """Load what calls need; may block."""


class GroupKey(NamedTuple):
    """A group of a service's ranks."""

    service: str
    group: str


class GroupSnapshot(NamedTuple):
    """A whole group: a report of each rank, and where each answers."""

    reports: dict[int, RankReport]
    upstreams: dict[int, UpstreamRecord]
    #: Monotonic seconds up to which this is used.
    until: float

    @property
    def any_report(self) -> RankReport:
        """Return one of the reports."""
        return next(iter(self.reports.values()))

    @property
    def identities(self) -> tuple[str, ...]:
        """Return the ranks' identities in their order."""
        return tuple(
            self.reports[rank].identity for rank in sorted(self.reports)
        )

    @property
    def map_versions(self) -> frozenset[int]:
        """Return the versions of the maps in force."""
        return frozenset(report.map_version for report in self.reports.values())

    @property
    def slowness(self) -> tuple[float, ...]:
        """Return how many times as long each rank takes, in their order."""
        return tuple(
            max(1, self.reports[rank].slowness) for rank in sorted(self.reports)
        )

    @property
    def slow(self) -> frozenset[str]:
        """Return the identities of ranks that hold back their group."""
        return frozenset(
            report.identity
            for report in self.reports.values()
            if report.slowness >= SLOW_RANK
        )

    @property
    def is_held(self) -> bool:
        """Tell whether a rank holds the group before a pass.

        All ranks make each pass, but the reports of a slow one are older: a
        hold that it tells of may be over.
        """
        reports = self.reports.values()
        begun = max(report.step for report in reports)
        return any((report.held or 0) > begun for report in reports)

    def is_current(self, members: Mapping[str, UpstreamRecord]) -> bool:
        """Tell whether all of its ranks still are in the roster."""
        return all(one.identity in members for one in self.upstreams.values())


class GroupObserver:
    """Looks at groups, and remembers for a while what it saw.

    Each group is looked at by itself, so that a rank of one that doesn't
    answer delays no other.
    """

    def __init__(self, link: EngineLink, clock: Clock) -> None:
        """Start without having seen any."""
        self._link = link
        self._clock = clock
        self._snapshots: dict[GroupKey, GroupSnapshot] = {}
        self._indexes: dict[str, RankGroupIndex] = {}
        #: Groups of which a rank said last that it stands still.
        self._broken: set[GroupKey] = set()
        #: When ranks that belong nowhere may be asked again.
        self._query_at: dict[str, float] = {}

    async def survey(
        self, service: str, members: Mapping[str, UpstreamRecord]
    ) -> frozenset[str]:
        """Ask ranks that belong nowhere yet; return the service's groups."""
        index = self._index(service)
        index.retain(members)
        now = self._clock.now()
        ungrouped = [
            record
            for identity, record in members.items()
            if not index.is_known(identity)
            and now >= self._query_at.get(identity, 0)
        ]
        for stranger in ungrouped:
            self._query_at[stranger.identity] = now + QUERY_RETRY_S
        for report in await self._read_reports(ungrouped):
            index.record(report)
        self._query_at = {
            identity: at for identity, at in self._query_at.items() if at > now
        }
        return index.groups

    async def observe(
        self, key: GroupKey, members: Mapping[str, UpstreamRecord]
    ) -> GroupSnapshot | None:
        """Return a group; nothing unless it is seen whole."""
        known = self._snapshots.get(key)
        if known is not None:
            if self._clock.now() < known.until and known.is_current(members):
                return known
            self.forget(key)
        snapshot = await self._poll_group(key, members)
        if snapshot is not None:
            self._snapshots[key] = snapshot
        return snapshot

    def is_broken(self, key: GroupKey) -> bool:
        """Tell whether a rank said at the last look that its group is down."""
        return key in self._broken

    def members(self, key: GroupKey) -> frozenset[str]:
        """Return the identities of the ranks that name this group."""
        return self._index(key.service).members(key.group)

    def forget(self, key: GroupKey) -> None:
        """Look anew at the next question."""
        self._snapshots.pop(key, None)

    async def map_in_force(
        self, sizes: ExpertSizes, snapshot: GroupSnapshot, plan: GroupPlan
    ) -> tuple[LayerMap, ...] | None:
        """Return the map that all ranks have; nothing while they differ."""
        if len(snapshot.map_versions) > 1:
            return None
        if snapshot.map_versions == {0}:
            return first_map(sizes, snapshot.any_report.size)
        if snapshot.map_versions == {plan.version}:
            return plan.layers
        layers = await self._read_map(snapshot)
        return layers if layers and fits(sizes, layers) else None

    def _index(self, service: str) -> RankGroupIndex:
        return self._indexes.setdefault(service, RankGroupIndex())

    async def _poll_group(
        self, key: GroupKey, members: Mapping[str, UpstreamRecord]
    ) -> GroupSnapshot | None:
        """Ask a group's ranks until it is whole or all have answered."""
        index = self._index(key.service)
        named = index.members(key.group) & members.keys()
        reports: dict[str, RankReport] = {}
        whole: dict[int, RankReport] | None = None
        asking = [
            asyncio.ensure_future(self._link.report(members[identity]))
            for identity in sorted(named)
        ]
        try:
            for answer in asyncio.as_completed(asking):
                report = await answer
                if report is None:
                    continue
                index.record(report)
                reports[report.identity] = report
                whole = find_complete_group(key.group, reports.values())
                if whole is not None:
                    break
        finally:
            for left in asking:
                left.cancel()
        self._note_broken(key, reports.values())
        if whole is None:
            return None
        self._drop_replaced(index, named, whole)
        upstreams = {
            rank: members[report.identity] for rank, report in whole.items()
        }
        return GroupSnapshot(
            whole, upstreams, self._clock.now() + SNAPSHOT_TTL_S
        )

    def _note_broken(
        self, key: GroupKey, reports: Iterable[RankReport]
    ) -> None:
        if any(one.group == key.group and not one.is_open for one in reports):
            self._broken.add(key)
        else:
            self._broken.discard(key)

    def _drop_replaced(
        self,
        index: RankGroupIndex,
        named: Iterable[str],
        whole: Mapping[int, RankReport],
    ) -> None:
        """Forget ranks whose place another one has."""
        present = {report.identity for report in whole.values()}
        for identity in set(named) - present:
            index.drop(identity)

    async def _read_reports(
        self, members: Sequence[UpstreamRecord]
    ) -> list[RankReport]:
        answers = await asyncio.gather(
            *(self._link.report(member) for member in members)
        )
        return [report for report in answers if report is not None]

    async def _read_map(
        self, snapshot: GroupSnapshot
    ) -> tuple[LayerMap, ...] | None:
        """Ask every rank, when the version isn't the one decided last."""
        ranks = sorted(snapshot.upstreams)
        held = await asyncio.gather(
            *(self._link.held(snapshot.upstreams[rank]) for rank in ranks)
        )
        by_rank = [experts for experts in held if experts is not None]
        if len(by_rank) < len(ranks):
            return None
        return tuple(zip(*by_rank, strict=False))
