"""How the control leader sees groups of engines: who answers, on which map."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple, Protocol

from snipebend.experts.group_watch import first_map
from snipebend.state.roster import RosterPhase

if TYPE_CHECKING:
    from collections.abc import Sequence

    from snipebend.experts.direct_orders import RankOrder, RankReport, Reply
    from snipebend.experts.group_watch import ExpertSizes, RankCounts
    from snipebend.experts.layer_state import LayerMap
    from snipebend.kernel.clock import Clock
    from snipebend.state.group_plans import GroupPlan
    from snipebend.state.roster import Roster, UpstreamRecord

#: Seconds for which a group that was seen whole is taken to be so.
SEEN_FOR_S = 1.0


#: A rank counts as slow from here on: all ranks wait for it in every pass.
SLOW_PACE = 1.5


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


class Seen(NamedTuple):
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
    def map_versions(self) -> frozenset[int]:
        """Return the versions of the maps in force."""
        return frozenset(report.map_version for report in self.reports.values())

    @property
    def slowness(self) -> tuple[float, ...]:
        """Return how many times as long each rank takes, in their order."""
        return tuple(
            max(1, self.reports[rank].pace) for rank in sorted(self.reports)
        )

    @property
    def slow(self) -> frozenset[str]:
        """Return the identities of ranks that hold back their group."""
        return frozenset(
            report.identity
            for report in self.reports.values()
            if report.pace >= SLOW_PACE
        )

    @property
    def is_held(self) -> bool:
        """Tell whether a rank holds the group before a pass."""
        return any(
            report.held is not None and report.held > report.step
            for report in self.reports.values()
        )

    def is_current(self, members: Sequence[UpstreamRecord], now: float) -> bool:
        """Tell whether this still holds for these members of the roster."""
        known = {one.identity for one in self.upstreams.values()}
        return now < self.until and known == {one.identity for one in members}


class GroupEyes:
    """Looks at groups, and remembers for a while what it saw."""

    def __init__(self, link: EngineLink, clock: Clock) -> None:
        """Start without having seen any."""
        self._link = link
        self._clock = clock
        self._seen: dict[str, Seen] = {}

    async def see(self, service: str, roster: Roster) -> Seen | None:
        """Return a service's group; nothing unless all its ranks answer."""
        members = [
            record
            for record in roster.upstreams.values()
            if record.service == service
            and record.phase is not RosterPhase.ENDED
        ]
        known = self._seen.get(service)
        if known is not None and known.is_current(members, self._clock.now()):
            return known
        seen = await self._look(members)
        if seen is None:
            self._seen.pop(service, None)
        else:
            self._seen[service] = seen
        return seen

    def forget(self, service: str) -> None:
        """Look anew at the next question."""
        self._seen.pop(service, None)

    async def map_in_force(
        self, sizes: ExpertSizes, seen: Seen, plan: GroupPlan
    ) -> tuple[LayerMap, ...] | None:
        """Return the map that all ranks have; nothing while they differ."""
        if len(seen.map_versions) > 1:
            return None
        if seen.map_versions == {0}:
            return first_map(sizes, seen.any_report.size)
        if seen.map_versions == {plan.version}:
            return plan.layers
        return await self._read_map(seen)

    async def _look(self, members: list[UpstreamRecord]) -> Seen | None:
        answers = await asyncio.gather(
            *(self._link.report(member) for member in members)
        )
        reports: dict[int, RankReport] = {}
        upstreams: dict[int, UpstreamRecord] = {}
        for member, report in zip(members, answers, strict=True):
            if report is not None and report.is_open:
                reports[report.rank] = report
                upstreams[report.rank] = member
        groups = {(one.group, one.epoch) for one in reports.values()}
        if len(groups) != 1:
            return None
        seen = Seen(reports, upstreams, self._clock.now() + SEEN_FOR_S)
        return seen if len(reports) == seen.any_report.size else None

    async def _read_map(self, seen: Seen) -> tuple[LayerMap, ...] | None:
        """Ask every rank, when the version isn't the one decided last."""
        ranks = sorted(seen.upstreams)
        held = await asyncio.gather(
            *(self._link.held(seen.upstreams[rank]) for rank in ranks)
        )
        by_rank = [experts for experts in held if experts is not None]
        if len(by_rank) < len(ranks):
            return None
        return tuple(zip(*by_rank, strict=True))
