"""Observes groups of engines: membership, reports and maps in force."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple, Protocol

from snipebend.experts.rank_group_index import (
    RankGroupIndex,
    find_complete_group,
)
from snipebend.experts.sizes import initial_map, is_complete_map

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

#: Seconds for which a complete snapshot of a group is valid.
SNAPSHOT_TTL_S = 1.0

#: Seconds until a replica without a known group is queried again. Each query
#: has a cost, and a replica that has exited does not respond.
QUERY_RETRY_S = 0.5

#: Slowness from which a rank counts as slow. All ranks wait for the slowest one
#: in every pass.
SLOW_RANK_THRESHOLD = 1.5


class EngineLink(Protocol):
    """Calls to engines, implemented for the platform's API."""

    async def read_report(self, upstream: UpstreamRecord) -> RankReport | None:
        """Return an engine's report, None without a response."""

    async def read_counts(self, upstream: UpstreamRecord) -> RankCounts | None:
        """Return an engine's expert selection counts."""

    async def read_map(
        self, upstream: UpstreamRecord
    ) -> tuple[tuple[int, ...], ...] | None:
        """Return the experts of an engine's map in force, by layer."""

    async def send_order(
        self, upstream: UpstreamRecord, order: RankOrder
    ) -> Reply:
        """Send an order and return its reply."""

    async def close(self) -> None:
        """Close all connections."""

    def load(self) -> None:
        """Import the modules that calls require; may block."""


class GroupKey(NamedTuple):
    """Identifies a group of ranks of a service."""

    service: str
    group: str


class GroupSnapshot(NamedTuple):
    """A complete group: the report and the upstream of each rank."""

    reports: dict[int, RankReport]
    upstreams: dict[int, UpstreamRecord]
    #: Monotonic time in seconds at which the snapshot expires.
    until: float

    @property
    def any_report(self) -> RankReport:
        """Return an arbitrary report."""
        return next(iter(self.reports.values()))

    @property
    def identities(self) -> tuple[str, ...]:
        """Return the identities of the ranks, in rank order."""
        return tuple(
            self.reports[rank].identity for rank in sorted(self.reports)
        )

    @property
    def map_versions(self) -> frozenset[int]:
        """Return the versions of the maps in force."""
        return frozenset(report.map_version for report in self.reports.values())

    @property
    def slowness(self) -> tuple[float, ...]:
        """Return the slowness of each rank, in rank order."""
        return tuple(
            max(1, self.reports[rank].slowness) for rank in sorted(self.reports)
        )

    @property
    def slow(self) -> frozenset[str]:
        """Return the identities of ranks that slow down the group."""
        return frozenset(
            report.identity
            for report in self.reports.values()
            if report.slowness >= SLOW_RANK_THRESHOLD
        )

    @property
    def last_step(self) -> int:
        """Return the last pass that a rank has started."""
        return max(report.step for report in self.reports.values())

    @property
    def held_step(self) -> int | None:
        """Return the pass before which a rank holds the group, if any.

        All ranks run each pass, but the reports of a slow rank are older, so
        the hold in such a report may have ended.
        """
        steps = (report.held or 0 for report in self.reports.values())
        held = max(steps)
        return held if held > self.last_step else None

    @property
    def is_held(self) -> bool:
        """Return whether a rank holds the group before a pass."""
        return self.held_step is not None

    def count_armed(self, version: int, step: int) -> int:
        """Return how many ranks activate a map version at the given pass."""
        return sum(
            report.armed == (version, step) for report in self.reports.values()
        )

    def is_stopped_before(self, version: int, step: int) -> bool:
        """Return whether a hold keeps fully armed ranks from reaching a pass.

        Reports that show only some ranks as armed are older than ``Go``.
        """
        if self.held_step is None or self.held_step > step:
            return False
        return self.count_armed(version, step) == len(self.reports)

    def is_current(self, members: Mapping[str, UpstreamRecord]) -> bool:
        """Return whether all ranks are still in the roster."""
        return all(one.identity in members for one in self.upstreams.values())


class GroupObserver:
    """Takes snapshots of groups and caches them for a limited time.

    Groups are observed independently, so that an unresponsive rank of one group
    does not delay another group.
    """

    def __init__(self, link: EngineLink, clock: Clock) -> None:
        """Create an observer with an empty cache."""
        self._link = link
        self._clock = clock
        self._snapshots: dict[GroupKey, GroupSnapshot] = {}
        self._indexes: dict[str, RankGroupIndex] = {}
        #: Groups of which a rank last reported that it is not operational.
        self._broken: set[GroupKey] = set()
        #: Times from which ungrouped ranks can be queried again.
        self._query_at: dict[str, float] = {}

    async def survey(
        self, service: str, members: Mapping[str, UpstreamRecord]
    ) -> frozenset[str]:
        """Query ungrouped ranks; return the groups of the service."""
        index = self._index(service)
        index.retain(members)
        now = self._clock.now()
        ungrouped = [
            record
            for identity, record in members.items()
            if not index.is_known(identity)
            and now >= self._query_at.get(identity, 0)
        ]
        for record in ungrouped:
            self._query_at[record.identity] = now + QUERY_RETRY_S
        for report in await self._read_reports(ungrouped):
            index.record(report)
        self._query_at = {
            identity: at for identity, at in self._query_at.items() if at > now
        }
        return index.groups

    async def observe(
        self, key: GroupKey, members: Mapping[str, UpstreamRecord]
    ) -> GroupSnapshot | None:
        """Return a snapshot of a group, None if it is incomplete."""
        known = self._snapshots.get(key)
        if known is not None:
            if self._clock.now() < known.until and known.is_current(members):
                return known
            self.invalidate(key)
        snapshot = await self._poll_group(key, members)
        if snapshot is not None:
            self._snapshots[key] = snapshot
        return snapshot

    def is_broken(self, key: GroupKey) -> bool:
        """Return whether a rank last reported its group as not operational."""
        return key in self._broken

    def members(self, key: GroupKey) -> frozenset[str]:
        """Return the identities of the ranks that report this group."""
        return self._index(key.service).members(key.group)

    def invalidate(self, key: GroupKey) -> None:
        """Discard the cached snapshot of a group."""
        self._snapshots.pop(key, None)

    async def map_in_force(
        self, sizes: ExpertSizes, snapshot: GroupSnapshot, plan: GroupPlan
    ) -> tuple[LayerMap, ...] | None:
        """Return the map of all ranks, None while their versions differ."""
        if len(snapshot.map_versions) > 1:
            return None
        if snapshot.map_versions == {0}:
            return initial_map(sizes, snapshot.any_report.size)
        if snapshot.map_versions == {plan.version}:
            return plan.layers
        layers = await self._read_map(snapshot)
        return layers if layers and is_complete_map(sizes, layers) else None

    def _index(self, service: str) -> RankGroupIndex:
        return self._indexes.setdefault(service, RankGroupIndex())

    async def _poll_group(
        self, key: GroupKey, members: Mapping[str, UpstreamRecord]
    ) -> GroupSnapshot | None:
        """Query a group's ranks until it is complete or all have responded."""
        index = self._index(key.service)
        candidates = index.members(key.group) & members.keys()
        reports: dict[str, RankReport] = {}
        complete: dict[int, RankReport] | None = None
        pending = [
            asyncio.ensure_future(self._link.read_report(members[identity]))
            for identity in sorted(candidates)
        ]
        try:
            for response in asyncio.as_completed(pending):
                report = await response
                if report is None:
                    continue
                index.record(report)
                reports[report.identity] = report
                complete = find_complete_group(key.group, reports.values())
                if complete is not None:
                    break
        finally:
            for task in pending:
                task.cancel()
        self._update_broken(key, reports.values())
        if complete is None:
            return None
        self._drop_replaced(index, candidates, complete)
        upstreams = {
            rank: members[report.identity] for rank, report in complete.items()
        }
        return GroupSnapshot(
            complete, upstreams, self._clock.now() + SNAPSHOT_TTL_S
        )

    def _update_broken(
        self, key: GroupKey, reports: Iterable[RankReport]
    ) -> None:
        if any(one.group == key.group and not one.is_open for one in reports):
            self._broken.add(key)
        else:
            self._broken.discard(key)

    def _drop_replaced(
        self,
        index: RankGroupIndex,
        candidates: Iterable[str],
        complete: Mapping[int, RankReport],
    ) -> None:
        """Remove ranks that were replaced by others."""
        present = {report.identity for report in complete.values()}
        for identity in set(candidates) - present:
            index.drop(identity)

    async def _read_reports(
        self, members: Sequence[UpstreamRecord]
    ) -> list[RankReport]:
        responses = await asyncio.gather(
            *(self._link.read_report(member) for member in members)
        )
        return [report for report in responses if report is not None]

    async def _read_map(
        self, snapshot: GroupSnapshot
    ) -> tuple[LayerMap, ...] | None:
        """Read the map from every rank if it is not the last decided one."""
        ranks = sorted(snapshot.upstreams)
        held = await asyncio.gather(
            *(self._link.read_map(snapshot.upstreams[rank]) for rank in ranks)
        )
        by_rank = [experts for experts in held if experts is not None]
        if len(by_rank) < len(ranks):
            return None
        return tuple(zip(*by_rank, strict=False))
