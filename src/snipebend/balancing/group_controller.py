"""Keeps the expert map of one group matched to demand, in the leader."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from grpclib.exceptions import GRPCError
from loguru import logger

from snipebend.experts.direct_switch import Phase
from snipebend.experts.group_monitor import GroupMonitor, MapKept, MapProposal
from snipebend.state.commands import DecideGroupPlan
from snipebend.state.group_plans import GroupPlan, PlanReply, PlanRequest
from snipebend.state.host_updates import GroupPhase, UpstreamGroupStatus
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
    from snipebend.transport.host_service import HostService
    from snipebend.balancing.leadership import Leadership
    from snipebend.transport.replicated_state import ReplicatedState

#: Seconds between two checks of a group, about one pass. Most checks only use
#: the pass times that entries reported.
CHECK_INTERVAL_S = 0.05

#: Seconds until a group with an incomplete snapshot is checked again. A single
#: lost report makes a snapshot incomplete.
INCOMPLETE_RETRY_S = 0.3

#: Seconds between two checks of an idle group that is armed for its next pass.
#: Each check has a cost, and nothing changes before the group has work.
IDLE_CHECK_INTERVAL_S = 1.0


#: Duration in seconds of a pass under a map that does not match the demand.
LONG_PASS_S = 0.15


class ControllerContext(NamedTuple):
    """Dependencies shared by the controllers of all groups."""

    link: EngineLink
    clock: Clock
    observer: GroupObserver
    counts: CountReader
    pass_times: GroupPassTimes
    store: ReplicatedState
    host_service: HostService
    meters: BalancerMeters
    leadership: Leadership
    #: The live upstreams of a service, by identity.
    members: Callable[[str], Mapping[str, UpstreamRecord]]
    #: The dimensions declared for a service's engines, None if there are none.
    sizes: Callable[[str], ExpertSizes | None]

    def create_controller(self, key: GroupKey) -> GroupController:
        """Return a controller for one group."""
        return GroupController(key, self)


class GroupController:
    """Monitors the demand of one group and runs its map switches."""

    def __init__(self, key: GroupKey, context: ControllerContext) -> None:
        """Create a controller; the first snapshot creates its monitor."""
        self.key = key
        self.monitor: GroupMonitor | None = None
        self._context = context
        self._clock = context.clock
        self._observer = context.observer
        self._follower = DemandFollower(
            key.group,
            context.counts,
            context.pass_times,
            context.clock,
            context.meters,
        )
        self._last_switch = LastSwitch()

    async def run(self) -> None:
        """Run until this daemon no longer leads or the group has no ranks."""
        while True:
            pause_s = await self.check()
            if pause_s is None:
                return
            await asyncio.sleep(pause_s)

    async def check(self) -> float | None:
        """Check the group; return the pause in seconds, None to stop."""
        context = self._context
        sizes = context.sizes(self.key.service)
        members = context.members(self.key.service)
        identities = self._observer.members(self.key)
        if not context.leadership.can_order or sizes is None or not identities:
            context.host_service.remove_group(self.key.group)
            return None
        context.leadership.update_term()
        if self._clock.now() < self._last_switch.visible_at:
            return CHECK_INTERVAL_S
        snapshot = await self._observer.observe(self.key, members)
        if snapshot is None:
            if self._observer.is_broken(self.key):
                self._publish_status(GroupPhase.DOWN, None)
            return INCOMPLETE_RETRY_S
        self._publish_status(GroupPhase.OPEN, snapshot)
        return await self._manage(sizes, snapshot)

    async def _manage(
        self, sizes: ExpertSizes, snapshot: GroupSnapshot
    ) -> float:
        """Complete an unfinished switch, or else track the demand."""
        monitor = self._current_monitor(sizes, snapshot)
        self._follower.update_pass_time(monitor)
        monitor.paces.update(
            snapshot.slowness, monitor.reported_pass_s, self._clock.now()
        )
        can_order = self._clock.now() >= self._orders_allowed_at(sizes)
        state = self._context.store.machine.state
        plan = state.plans.latest(self.key.group)
        if self._last_switch.is_unfinished(plan, snapshot):
            if self._last_switch.is_pending(plan, snapshot):
                self._last_switch.log_pending(snapshot)
                self._observer.invalidate(self.key)
                return (
                    INCOMPLETE_RETRY_S
                    if monitor.reported_pass_s
                    else IDLE_CHECK_INTERVAL_S
                )
            if can_order:
                await self._finish_switch(sizes, snapshot, plan)
                return CHECK_INTERVAL_S
        if can_order:
            await self._follow_demand(sizes, snapshot, plan)
        else:
            await self._sample_while_settling(snapshot)
        return CHECK_INTERVAL_S

    async def _finish_switch(
        self, sizes: ExpertSizes, snapshot: GroupSnapshot, plan: GroupPlan
    ) -> None:
        logger.info(
            'event=switch_resumed group={} version={} last_pass={} '
            + 'held_at_step={}',
            plan.group,
            plan.version,
            snapshot.last_step,
            snapshot.held_step,
        )
        driver = SwitchDriver(
            self._context.link,
            self._clock,
            plan,
            snapshot,
            self._context.meters,
        )
        await self._run_switch(plan, snapshot, driver, sizes.settle_s)
        self._follower.plan.note_changed(self._clock.now())

    async def _follow_demand(
        self, sizes: ExpertSizes, snapshot: GroupSnapshot, plan: GroupPlan
    ) -> None:
        """Read the demand if it may have shifted, and improve the map.

        A changed pace of a rank is planned for with the demand that is known.
        """
        monitor = self._current_monitor(sizes, snapshot)
        was_counting = self._follower.plan.is_counting
        if (
            snapshot.is_held
            or self._follower.must_plan_for_paces(monitor)
            or await self._follower.read(monitor, snapshot)
        ):
            await self._improve_map(sizes, snapshot, plan)
        elif self._follower.should_recheck(monitor):
            self._observer.invalidate(self.key)
        elif self._follower.plan.is_counting and not was_counting:
            if monitor.paces.are_reports_outdated:
                # A rank may have become slow since it was observed.
                self._observer.invalidate(self.key)

    async def _sample_while_settling(self, snapshot: GroupSnapshot) -> None:
        """Read the demand while orders are not allowed yet."""
        self._observer.invalidate(self.key)
        if self.monitor is not None and not self._follower.plan.is_counting:
            await self._follower.read(self.monitor, snapshot)

    async def _improve_map(
        self, sizes: ExpertSizes, snapshot: GroupSnapshot, plan: GroupPlan
    ) -> None:
        """Change the map if a better one justifies its fetches."""
        monitor = self._current_monitor(sizes, snapshot)
        layers = await self._observer.map_in_force(sizes, snapshot, plan)
        if layers is None:
            self._follower.plan.note_failed(self._clock.now())
            self._observer.invalidate(self.key)
            return
        # The search takes 0.1 s for 32 ranks of 12 layers; in a thread it does
        # not delay heartbeats.
        monitor.paces.note_planned(self._clock.now())
        proposal = await asyncio.to_thread(monitor.propose_map, layers)
        if snapshot.is_held:
            # The group is on hold because of a late order; only a switch
            # releases it.
            proposal = MapProposal(layers)
        if proposal.are_paces_denied:
            self._follower.log_paces('denied', monitor)
        if isinstance(proposal, MapKept):
            self._follower.note_kept(monitor, proposal)
            return
        if await self._switch_map(sizes, snapshot, plan, proposal):
            self._follower.plan.note_changed(self._clock.now())
        else:
            self._follower.plan.note_failed(self._clock.now())

    def _orders_allowed_at(self, sizes: ExpertSizes) -> float:
        return max(
            self._last_switch.orders_allowed_at,
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
        """Commit a better map and switch to it; return whether it started."""
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
        self._context.meters.record_plan(
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
        await self._run_switch(plan, snapshot, driver, sizes.settle_s)
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

    async def _run_switch(
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
            # The previous pass must end first.
            pass_s = self.monitor.reported_pass_s if self.monitor else None
            visible_at += max(LONG_PASS_S, pass_s or 0)
        self._last_switch.record_outcome(
            plan.version, phase, driver.hold_step, visible_at
        )
        self._observer.invalidate(self.key)

    def _publish_status(
        self, phase: GroupPhase, snapshot: GroupSnapshot | None
    ) -> None:
        """Publish the group's status and its slow ranks to entries."""
        if snapshot is None:
            members = tuple(sorted(self._observer.members(self.key)))
        else:
            members = snapshot.identities
        self._context.host_service.report_group(
            UpstreamGroupStatus(
                self.key.group,
                self.key.service,
                phase,
                members,
                tuple(sorted(snapshot.slow)) if snapshot else (),
            )
        )
