"""The control leader's care for one group of engines: its map fits demand."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from grpclib.exceptions import GRPCError
from loguru import logger

from snipebend.experts.direct_switch import Phase
from snipebend.experts.group_monitor import GroupMonitor, MapKept, MapProposal
from snipebend.state.commands import DecideGroupPlan
from snipebend.state.group_plans import GroupPlan, PlanReply, PlanRequest
from snipebend.state.host_news import GroupPhase, GroupStanding
from snipebend.balancing.demand_follower import DemandFollower
from snipebend.balancing.group_observer import GroupKey
from snipebend.balancing.last_switch import LastSwitch
from snipebend.balancing.switch_driver import SwitchDriver

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from snipebend.experts.direct_orders import RankReport
    from snipebend.experts.group_pass_times import GroupPassTimes
    from snipebend.experts.sizes import ExpertSizes
    from snipebend.kernel.clock import Clock
    from snipebend.state.roster import UpstreamRecord
    from snipebend.balancing.meters import BalancerMeters
    from snipebend.balancing.count_reader import CountReader
    from snipebend.balancing.group_observer import (
        EngineLink,
        GroupObserver,
        GroupSnapshot,
    )
    from snipebend.transport.host_keeper import HostKeeper
    from snipebend.balancing.leadership import Leadership
    from snipebend.transport.replicated_state import ReplicatedState

#: Seconds between two looks at a group: about a pass. Most look only at what
#: entries have told.
LOOK_EVERY_S = 0.05

#: Seconds before a group that couldn't be seen whole is looked at again: one
#: report that is lost on the way is enough for that.
BLIND_S = 0.3

#: Seconds between two looks at a group without work that is armed for its next
#: pass: each look is paid for, and nothing happens before there is work.
IDLE_LOOK_S = 1.0


#: Seconds of a long pass: of a group with a map that doesn't fit its demand.
LONG_PASS_S = 0.15


class ControllerContext(NamedTuple):
    """What the care for each group shares with the others."""

    link: EngineLink
    clock: Clock
    observer: GroupObserver
    counts: CountReader
    paces: GroupPassTimes
    store: ReplicatedState
    keeper: HostKeeper
    meters: BalancerMeters
    leadership: Leadership
    #: The live upstreams of a service, by identity.
    members: Callable[[str], Mapping[str, UpstreamRecord]]
    #: What a service's engines declare; none: nothing any more.
    sizes: Callable[[str], ExpertSizes | None]

    def create_controller(self, key: GroupKey) -> GroupController:
        """Return the care for one group."""
        return GroupController(key, self)


class GroupController:
    """Watches one group's demand and drives its switches."""

    def __init__(self, key: GroupKey, context: ControllerContext) -> None:
        """Start without having seen the group."""
        self.key = key
        self.monitor: GroupMonitor | None = None
        self._context = context
        self._clock = context.clock
        self._observer = context.observer
        self._follower = DemandFollower(
            key.group,
            context.counts,
            context.paces,
            context.clock,
            context.meters,
        )
        self._last = LastSwitch()

    async def run(self) -> None:
        """Care until this daemon no longer leads or the group is gone."""
        while True:
            pause_s = await self.check()
            if pause_s is None:
                return
            await asyncio.sleep(pause_s)

    async def check(self) -> float | None:
        """Look at the group; return the pause after it, none: no more."""
        context = self._context
        sizes = context.sizes(self.key.service)
        members = context.members(self.key.service)
        named = self._observer.members(self.key)
        if not context.leadership.can_order or sizes is None or not named:
            context.keeper.forget_group(self.key.group)
            return None
        context.leadership.update_term()
        if self._clock.now() < self._last.visible_at:
            return LOOK_EVERY_S
        snapshot = await self._observer.observe(self.key, members)
        if snapshot is None:
            if self._observer.is_broken(self.key):
                self._publish_status(GroupPhase.DOWN, None)
            return BLIND_S
        self._publish_status(GroupPhase.OPEN, snapshot)
        return await self._manage(sizes, snapshot)

    async def _manage(
        self, sizes: ExpertSizes, snapshot: GroupSnapshot
    ) -> float:
        """Finish a switch that is unfinished, or follow the demand."""
        monitor = self._current_monitor(sizes, snapshot)
        monitor.slowness = snapshot.slowness
        self._follower.update_pass_time(monitor)
        can_order = self._clock.now() >= self._orders_allowed_at(sizes)
        state = self._context.store.machine.state
        plan = state.plans.latest(self.key.group)
        if self._last.is_unfinished(plan, snapshot):
            if self._last.is_pending(plan, snapshot):
                self._observer.forget(self.key)
                return BLIND_S if monitor.reported_pass_s else IDLE_LOOK_S
            if can_order:
                await self._finish_switch(sizes, snapshot, plan)
                return LOOK_EVERY_S
        if can_order:
            await self._follow_demand(sizes, snapshot, plan)
        else:
            await self._sample_while_settling(snapshot)
        return LOOK_EVERY_S

    async def _finish_switch(
        self, sizes: ExpertSizes, snapshot: GroupSnapshot, plan: GroupPlan
    ) -> None:
        driver = SwitchDriver(
            self._context.link,
            self._clock,
            plan,
            snapshot,
            self._context.meters,
        )
        await self._drive(plan, snapshot, driver, sizes.settle_s)
        self._follower.plan.note_changed(self._clock.now())

    async def _follow_demand(
        self, sizes: ExpertSizes, snapshot: GroupSnapshot, plan: GroupPlan
    ) -> None:
        """Look at the demand if it may have turned, and answer it."""
        monitor = self._current_monitor(sizes, snapshot)
        if snapshot.is_held or await self._follower.read(monitor, snapshot):
            await self._improve_map(sizes, snapshot, plan)
        elif self._follower.should_recheck(monitor):
            self._observer.forget(self.key)

    async def _sample_while_settling(self, snapshot: GroupSnapshot) -> None:
        """Orders must wait; the look at the demand need not."""
        self._observer.forget(self.key)
        if self.monitor is not None and not self._follower.plan.spans:
            await self._follower.read(self.monitor, snapshot)

    async def _improve_map(
        self, sizes: ExpertSizes, snapshot: GroupSnapshot, plan: GroupPlan
    ) -> None:
        """Change the map, if another one is worth its loads."""
        monitor = self._current_monitor(sizes, snapshot)
        layers = await self._observer.map_in_force(sizes, snapshot, plan)
        if layers is None:
            self._follower.plan.note_failed(self._clock.now())
            self._observer.forget(self.key)
            return
        # 0.1 s for 32 ranks of 12 layers; heartbeats go on meanwhile.
        proposal = await asyncio.to_thread(monitor.propose_map, layers)
        if snapshot.is_held:
            # A hold whose order came late: only a switch ends it.
            proposal = MapProposal(layers)
        if isinstance(proposal, MapKept):
            self._follower.note_kept(monitor, proposal)
            return
        if await self._switch_map(sizes, snapshot, plan, proposal):
            self._follower.plan.note_changed(self._clock.now())
        else:
            self._follower.plan.note_failed(self._clock.now())

    def _orders_allowed_at(self, sizes: ExpertSizes) -> float:
        return max(
            self._last.settled_at,
            self._context.leadership.leading_since + sizes.settle_s,
        )

    def _current_monitor(
        self, sizes: ExpertSizes, snapshot: GroupSnapshot
    ) -> GroupMonitor:
        report: RankReport = snapshot.any_report
        monitor = self.monitor
        if monitor is None or monitor.epoch != report.epoch:
            logger.info(
                'event=group_seen group={} epoch={} ranks={}',
                report.group,
                report.epoch,
                report.size,
            )
            monitor = GroupMonitor(sizes, report)
            self.monitor = monitor
            self._follower.begin(sizes)
        return monitor

    async def _switch_map(
        self,
        sizes: ExpertSizes,
        snapshot: GroupSnapshot,
        before: GroupPlan,
        proposal: MapProposal,
    ) -> bool:
        """Decide on a better map, and switch to it; tell whether it began."""
        monitor = self._current_monitor(sizes, snapshot)
        version = self._context.store.machine.state.plans.next_version
        plan = GroupPlan(monitor.group, monitor.epoch, version, proposal.layers)
        logger.info(
            'event=map_planned group={} epoch={} version={} step={} '
            + 'skew={:.3f} skew_after={:.3f} saving={:.3f} loads={}',
            plan.group,
            plan.epoch,
            plan.version,
            monitor.step,
            proposal.skew_before,
            proposal.skew_after,
            proposal.saving,
            proposal.fetches,
        )
        self._context.meters.planned(
            plan.group, proposal.skew_before, proposal.skew_after
        )
        if not await self._decide(plan, before.version):
            return False
        driver = SwitchDriver(
            self._context.link,
            self._clock,
            plan,
            snapshot,
            self._context.meters,
            fetch_s=sizes.fetch_s * proposal.max_fetches,
            pass_timing=monitor.pass_timing,
        )
        await self._drive(plan, snapshot, driver, sizes.settle_s)
        return True

    async def _decide(self, plan: GroupPlan, after: int) -> bool:
        req = PlanRequest(plan, after)
        command = DecideGroupPlan(req, self._context.store.wall())
        try:
            reply: PlanReply = await self._context.store.execute(command)
        except GRPCError as exc:
            logger.warning(
                'event=map_undecided group={} error={!r}',
                plan.group,
                str(exc.message),
            )
            return False
        return reply.accepted

    async def _drive(
        self,
        plan: GroupPlan,
        snapshot: GroupSnapshot,
        driver: SwitchDriver,
        settle_s: float,
    ) -> None:
        self._publish_status(GroupPhase.SWITCHING, snapshot)
        phase = await driver.run(lambda: self._context.leadership.can_order)
        if self.monitor is not None:
            self.monitor.reset_pass_timing()
        visible_at = self._clock.now() + settle_s
        if phase is Phase.GO_ACCEPTED:
            # The pass before it must end first.
            told_s = self.monitor.reported_pass_s if self.monitor else None
            visible_at += max(LONG_PASS_S, told_s or 0)
        self._last.record_outcome(
            plan.version, phase, driver.hold_step, visible_at
        )
        self._observer.forget(self.key)

    def _publish_status(
        self, phase: GroupPhase, snapshot: GroupSnapshot | None
    ) -> None:
        """Tell entries of the group, and who holds it back."""
        if snapshot is None:
            members = tuple(sorted(self._observer.members(self.key)))
        else:
            members = snapshot.identities
        self._context.keeper.tell_group(
            GroupStanding(
                self.key.group,
                self.key.service,
                phase,
                members,
                tuple(sorted(snapshot.slow)) if snapshot else (),
            )
        )
