"""The control leader's balancing of expert maps over engines without agents."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple, Protocol

from grpclib.exceptions import GRPCError
from loguru import logger

from snipebend.experts.direct_switch import DirectSwitch, Phase, Reply
from snipebend.experts.group_watch import ExpertSizes, GroupWatch, first_map
from snipebend.kernel.service import Service
from snipebend.state.commands import DecideGroupPlan
from snipebend.state.group_plans import GroupPlan, PlanReply, PlanRequest
from snipebend.state.roster import RosterPhase
from snipebend.transport.replicated_state import ReplicatedState

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from snipebend.experts.bounded_search import LayerMap
    from snipebend.experts.direct_switch import RankOrder, RankReport
    from snipebend.experts.group_watch import RankCounts
    from snipebend.hosts.model import HostTable
    from snipebend.kernel.registry import Registry
    from snipebend.state.machine import MachineState
    from snipebend.state.roster import UpstreamRecord

#: Seconds between two looks at the demand.
LOOK_EVERY_S = 0.3

#: Seconds to the next look while the demand turns.
TURNING_EVERY_S = 0.15

#: Ranks whose counts are read at each look: each reading is paid for and lets
#: the group rest, and any rank's requests are a fair sample.
SAMPLE = 1

#: Seconds for which a group that was seen whole is taken to be so.
SEEN_FOR_S = 3.0

#: Seconds between two steps of a switch.
STEP_EVERY_S = 0.02

#: Seconds between two rounds of reports while a switch goes on.
REPORT_EVERY_S = 0.2

#: Seconds before a group that couldn't be seen whole is looked at again.
BLIND_S = 1.0


class EngineLink(Protocol):
    """The calls of engines, in the platform's form."""

    async def report(self, upstream: UpstreamRecord) -> RankReport | None:
        """Return what an engine says of itself; nothing without an answer."""

    async def counts(self, upstream: UpstreamRecord) -> RankCounts | None:
        """Return what an engine's requests chose."""

    async def order(self, upstream: UpstreamRecord, order: RankOrder) -> Reply:
        """Give an order."""

    async def close(self) -> None:
        """Close the connections."""


class Seen(NamedTuple):
    """A whole group: a report of each rank, and where each answers."""

    reports: dict[int, RankReport]
    upstreams: dict[int, UpstreamRecord]
    #: Monotonic seconds.
    until: float = 0

    def is_current(self, members: list[UpstreamRecord], now: float) -> bool:
        """Tell whether this still holds for these members of the roster."""
        known = {one.identity for one in self.upstreams.values()}
        return now < self.until and known == {one.identity for one in members}

    @property
    def any_report(self) -> RankReport:
        """Return one of the reports."""
        return next(iter(self.reports.values()))


class GroupBalancer(Service):
    """Watches each group's demand and drives its switches, while it leads."""

    def __init__(
        self, name: str, link: EngineLink, table: Callable[[], HostTable | None]
    ) -> None:
        """Keep the way to engines; ``table`` returns the document in force."""
        super().__init__(name)
        self._link = link
        self._table = table
        self._watches: dict[str, GroupWatch] = {}
        self._seen: dict[str, Seen] = {}
        self._status: dict[str, object] = {}

    async def start(self, registry: Registry) -> None:
        """Start the task."""
        self._clock = registry.clock
        self._store = registry.find('state', ReplicatedState)
        registry.tasks.start('balance', self._balance_for_ever)

    async def stop(self) -> None:
        """Close the connections to engines."""
        await self._link.close()

    def dump(self) -> Mapping[str, object]:
        """Return what was last seen of each group."""
        return dict(self._status)

    async def _balance_for_ever(self) -> None:
        while True:
            pause_s = BLIND_S
            if self._leads:
                pause_s = await self._balance()
            await asyncio.sleep(pause_s)

    @property
    def _leads(self) -> bool:
        group = self._store.group
        return group is not None and group.replica.leads

    @property
    def _state(self) -> MachineState:
        return self._store.machine.state

    async def _balance(self) -> float:
        """Look at every service with experts; return the pause after it."""
        table = self._table()
        if table is None:
            return BLIND_S
        pause_s = BLIND_S
        for service in table.services:
            engine = service.engine
            if engine is not None and engine.layers:
                sizes = ExpertSizes(
                    engine.layers,
                    engine.experts,
                    engine.places,
                    engine.spare,
                    engine.expert_share,
                    engine.fetch_s,
                )
                pause_s = min(pause_s, await self._look_at(service.name, sizes))
        return pause_s

    async def _look_at(self, service: str, sizes: ExpertSizes) -> float:
        """Look at one service's group; return the pause after it."""
        seen = await self._see_cached(service)
        if seen is None:
            return BLIND_S
        report = seen.any_report
        plan = self._state.plans.latest(report.group)
        if self._is_unfinished(plan, seen):
            await self._drive(plan, seen, 0)
            self._seen.pop(service, None)
            return LOOK_EVERY_S
        watch = self._watch(sizes, report)
        if not await self._read_counts(watch, seen):
            self._seen.pop(service, None)
            return LOOK_EVERY_S
        layers = self._map_in_force(sizes, seen, plan)
        if layers is None:
            return BLIND_S
        outlook = watch.look(layers)
        if outlook is None:
            return TURNING_EVERY_S if watch.turning else LOOK_EVERY_S
        logger.info(
            'event=map_planned group={} epoch={} step={} skew={:.3f} '
            + 'skew_after={:.3f} saving={:.3f} loads={}',
            report.group,
            report.epoch,
            report.step,
            outlook.skew_before,
            outlook.skew_after,
            outlook.saving,
            outlook.loads,
        )
        fetch_s = sizes.fetch_s * outlook.most_loads
        await self._decide(plan, watch, outlook.layers, seen, fetch_s)
        self._seen.pop(service, None)
        return TURNING_EVERY_S

    async def _see_cached(self, service: str) -> Seen | None:
        """Return the group as it was seen whole lately, or look anew."""
        members = self._members(service)
        now = self._clock.now()
        cached = self._seen.get(service)
        if cached is not None and cached.is_current(members, now):
            return cached
        seen = await self._see(members)
        if seen is None:
            self._seen.pop(service, None)
        else:
            self._seen[service] = seen
        return seen

    def _members(self, service: str) -> list[UpstreamRecord]:
        return [
            record
            for record in self._state.roster.upstreams.values()
            if record.service == service
            and record.phase is not RosterPhase.ENDED
        ]

    async def _see(self, members: list[UpstreamRecord]) -> Seen | None:
        """Return the whole open group; nothing unless all ranks answer."""
        reports = await asyncio.gather(
            *(self._link.report(member) for member in members)
        )
        found: dict[int, RankReport] = {}
        upstreams: dict[int, UpstreamRecord] = {}
        for member, report in zip(members, reports, strict=True):
            if report is not None and report.is_open:
                found[report.rank] = report
                upstreams[report.rank] = member
        if not found:
            return None
        first = next(iter(found.values()))
        same = all(
            (report.group, report.epoch) == (first.group, first.epoch)
            for report in found.values()
        )
        if not same or len(found) < first.size:
            return None
        return Seen(found, upstreams, self._clock.now() + SEEN_FOR_S)

    def _watch(self, sizes: ExpertSizes, report: RankReport) -> GroupWatch:
        watch = self._watches.get(report.group)
        if watch is None or watch.epoch != report.epoch:
            logger.info(
                'event=group_seen group={} epoch={} ranks={}',
                report.group,
                report.epoch,
                report.size,
            )
            watch = GroupWatch(sizes, report)
            self._watches[report.group] = watch
        return watch

    async def _read_counts(self, watch: GroupWatch, seen: Seen) -> bool:
        """Read the counts of a few ranks; tell whether the epoch holds."""
        ranks = sorted(seen.upstreams)[:SAMPLE]
        found = await asyncio.gather(
            *(self._link.counts(seen.upstreams[rank]) for rank in ranks)
        )
        for rank, counts in zip(ranks, found, strict=True):
            if counts is None or counts.epoch != watch.epoch:
                return False
            watch.note_counts(rank, counts)
        return True

    def _map_in_force(
        self, sizes: ExpertSizes, seen: Seen, plan: GroupPlan
    ) -> tuple[LayerMap, ...] | None:
        versions = {report.map_version for report in seen.reports.values()}
        if versions == {0}:
            return first_map(sizes, seen.any_report.size)
        if versions == {plan.version}:
            return plan.layers
        return None

    def _is_unfinished(self, plan: GroupPlan, seen: Seen) -> bool:
        if plan.version == 0 or plan.epoch != seen.any_report.epoch:
            return False
        return any(
            report.map_version != plan.version
            for report in seen.reports.values()
        )

    async def _decide(
        self,
        before: GroupPlan,
        watch: GroupWatch,
        layers: tuple[LayerMap, ...],
        seen: Seen,
        fetch_s: float,
    ) -> None:
        version = before.version + 1
        plan = GroupPlan(watch.group, watch.epoch, version, layers)
        command = DecideGroupPlan(
            PlanRequest(plan, before.version), self._store.wall()
        )
        try:
            reply: PlanReply = await self._store.execute(command)
        except GRPCError as exc:
            logger.warning(
                'event=map_undecided group={} error={!r}',
                watch.group,
                str(exc.message),
            )
            return
        if reply.accepted:
            await self._drive(plan, seen, fetch_s, watch.step)

    async def _drive(
        self, plan: GroupPlan, seen: Seen, fetch_s: float, step: int = 0
    ) -> None:
        """Drive one switch to its end, as long as this daemon leads."""
        switch = DirectSwitch(
            plan.group,
            plan.epoch,
            plan.version,
            plan.layers,
            seen.any_report.size,
            fetch_s,
            step,
        )
        for report in seen.reports.values():
            switch.note_report(report)
        began_at = self._clock.now()
        report_at = began_at + fetch_s
        while not switch.over and self._leads:
            await self._send_orders(switch, seen)
            await asyncio.sleep(STEP_EVERY_S)
            if self._clock.now() >= report_at:
                await self._read_reports(switch, seen)
                report_at = self._clock.now() + REPORT_EVERY_S
        logger.info(
            'event=map_switch group={} version={} phase={} took_ms={:.0f} '
            + 'held_at_step={}',
            plan.group,
            plan.version,
            switch.phase.value,
            1000 * (self._clock.now() - began_at),
            switch.hold_step,
        )

    async def _send_orders(self, switch: DirectSwitch, seen: Seen) -> None:
        """Send what is due until the switch must wait for something."""
        while True:
            orders = switch.next_orders(self._clock.now())
            if not orders:
                return
            await asyncio.gather(
                *(self._send(switch, order, seen) for order in orders)
            )

    async def _send(
        self, switch: DirectSwitch, order: RankOrder, seen: Seen
    ) -> None:
        reply = await self._link.order(seen.upstreams[order.rank], order)
        if reply is not Reply.ACCEPTED:
            logger.info(
                'event=order_unaccepted group={} rank={} order={} reply={}',
                switch.group,
                order.rank,
                type(order).__name__.lower(),
                reply.value,
            )
        switch.note_reply(order, reply, self._clock.now())

    async def _read_reports(self, switch: DirectSwitch, seen: Seen) -> None:
        reports = await asyncio.gather(
            *(self._link.report(one) for one in seen.upstreams.values())
        )
        for report in reports:
            if report is not None:
                switch.note_report(report)
