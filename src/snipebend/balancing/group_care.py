"""The control leader's care for one group of engines: its map fits demand."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from grpclib.exceptions import GRPCError
from loguru import logger

from snipebend.experts.direct_switch import Phase
from snipebend.experts.group_watch import GroupWatch, Kept, Outlook
from snipebend.state.commands import DecideGroupPlan
from snipebend.state.group_plans import GroupPlan, PlanReply, PlanRequest
from snipebend.state.host_updates import GroupPhase, UpstreamGroupStatus
from snipebend.balancing.demand_follower import DemandFollower
from snipebend.balancing.group_eyes import GroupKey
from snipebend.balancing.last_switch import LastSwitch
from snipebend.balancing.switch_driver import SwitchDriver

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from snipebend.experts.direct_orders import RankReport
    from snipebend.experts.group_pace import GroupPaces
    from snipebend.experts.sizes import ExpertSizes
    from snipebend.kernel.clock import Clock
    from snipebend.state.roster import UpstreamRecord
    from snipebend.balancing.meters import BalancerMeters
    from snipebend.balancing.count_reader import CountReader
    from snipebend.balancing.group_eyes import EngineLink, GroupEyes, Seen
    from snipebend.transport.host_keeper import HostKeeper
    from snipebend.balancing.lead import Lead
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


class CareTools(NamedTuple):
    """What the care for each group shares with the others."""

    link: EngineLink
    clock: Clock
    eyes: GroupEyes
    counts: CountReader
    paces: GroupPaces
    store: ReplicatedState
    keeper: HostKeeper
    meters: BalancerMeters
    lead: Lead
    #: The live upstreams of a service, by identity.
    members: Callable[[str], Mapping[str, UpstreamRecord]]
    #: What a service's engines declare; none: nothing any more.
    sizes: Callable[[str], ExpertSizes | None]

    def care_for(self, key: GroupKey) -> GroupCare:
        """Return the care for one group."""
        return GroupCare(key, self)


class GroupCare:
    """Watches one group's demand and drives its switches."""

    def __init__(self, key: GroupKey, tools: CareTools) -> None:
        """Start without having seen the group."""
        self.key = key
        self.watch: GroupWatch | None = None
        self._tools = tools
        self._clock = tools.clock
        self._eyes = tools.eyes
        self._follower = DemandFollower(
            key.group, tools.counts, tools.paces, tools.clock, tools.meters
        )
        self._last = LastSwitch()

    async def run(self) -> None:
        """Care until this daemon no longer leads or the group is gone."""
        while True:
            pause_s = await self.look()
            if pause_s is None:
                return
            await asyncio.sleep(pause_s)

    async def look(self) -> float | None:
        """Look at the group; return the pause after it, none: no more."""
        tools = self._tools
        sizes = tools.sizes(self.key.service)
        members = tools.members(self.key.service)
        named = self._eyes.members(self.key)
        if not tools.lead.may_order or sizes is None or not named:
            tools.keeper.forget_group(self.key.group)
            return None
        tools.lead.note_term()
        if self._clock.now() < self._last.shown_at:
            return LOOK_EVERY_S
        seen = await self._eyes.see(self.key, members)
        if seen is None:
            if self._eyes.is_broken(self.key):
                self._tell(GroupPhase.DOWN, None)
            return BLIND_S
        self._tell(GroupPhase.OPEN, seen)
        return await self._tend(sizes, seen)

    async def _tend(self, sizes: ExpertSizes, seen: Seen) -> float:
        """Finish a switch that is unfinished, or follow the demand."""
        watch = self._watching(sizes, seen)
        watch.slowness = seen.slowness
        self._follower.hear(watch)
        may_order = self._clock.now() >= self._may_order_at(sizes)
        state = self._tools.store.machine.state
        plan = state.plans.latest(self.key.group)
        if self._last.is_unfinished(plan, seen):
            if self._last.is_under_way(plan, seen):
                self._eyes.forget(self.key)
                return BLIND_S if watch.told_pass_s else IDLE_LOOK_S
            if may_order:
                await self._finish(sizes, seen, plan)
                return LOOK_EVERY_S
        if may_order:
            await self._follow(sizes, seen, plan)
        else:
            await self._wait(seen)
        return LOOK_EVERY_S

    async def _finish(
        self, sizes: ExpertSizes, seen: Seen, plan: GroupPlan
    ) -> None:
        driver = SwitchDriver(
            self._tools.link, self._clock, plan, seen, self._tools.meters
        )
        await self._drive(plan, seen, driver, sizes.settle_s)
        self._follower.plan.note_changed(self._clock.now())

    async def _follow(
        self, sizes: ExpertSizes, seen: Seen, plan: GroupPlan
    ) -> None:
        """Look at the demand if it may have turned, and answer it."""
        watch = self._watching(sizes, seen)
        if seen.is_held or await self._follower.read(watch, seen):
            await self._answer(sizes, seen, plan)
        elif self._follower.takes_doubt(watch):
            self._eyes.forget(self.key)

    async def _wait(self, seen: Seen) -> None:
        """Orders must wait; the look at the demand need not."""
        self._eyes.forget(self.key)
        if self.watch is not None and not self._follower.plan.is_counting:
            await self._follower.read(self.watch, seen)

    async def _answer(
        self, sizes: ExpertSizes, seen: Seen, plan: GroupPlan
    ) -> None:
        """Change the map, if another one is worth its loads."""
        watch = self._watching(sizes, seen)
        layers = await self._eyes.map_in_force(sizes, seen, plan)
        if layers is None:
            self._follower.plan.note_failed(self._clock.now())
            self._eyes.forget(self.key)
            return
        # 0.1 s for 32 ranks of 12 layers; heartbeats go on meanwhile.
        outlook = await asyncio.to_thread(watch.look, layers)
        if seen.is_held:
            # A hold whose order came late: only a switch ends it.
            outlook = Outlook(layers)
        if isinstance(outlook, Kept):
            self._follower.note_kept(watch, outlook)
            return
        if await self._change(sizes, seen, plan, outlook):
            self._follower.plan.note_changed(self._clock.now())
        else:
            self._follower.plan.note_failed(self._clock.now())

    def _may_order_at(self, sizes: ExpertSizes) -> float:
        return max(
            self._last.settled_at, self._tools.lead.since + sizes.settle_s
        )

    def _watching(self, sizes: ExpertSizes, seen: Seen) -> GroupWatch:
        report: RankReport = seen.any_report
        watch = self.watch
        if watch is None or watch.epoch != report.epoch:
            logger.info(
                'event=group_seen group={} epoch={} ranks={}',
                report.group,
                report.epoch,
                report.size,
            )
            watch = GroupWatch(sizes, report)
            self.watch = watch
            self._follower.begin(sizes)
        return watch

    async def _change(
        self,
        sizes: ExpertSizes,
        seen: Seen,
        before: GroupPlan,
        outlook: Outlook,
    ) -> bool:
        """Decide on a better map, and switch to it; tell whether it began."""
        watch = self._watching(sizes, seen)
        version = self._tools.store.machine.state.plans.next_version
        plan = GroupPlan(watch.group, watch.epoch, version, outlook.layers)
        logger.info(
            'event=map_planned group={} epoch={} version={} step={} '
            + 'skew={:.3f} skew_after={:.3f} saving={:.3f} loads={}',
            plan.group,
            plan.epoch,
            plan.version,
            watch.step,
            outlook.skew_before,
            outlook.skew_after,
            outlook.saving,
            outlook.loads,
        )
        self._tools.meters.planned(
            plan.group, outlook.skew_before, outlook.skew_after
        )
        if not await self._decide(plan, before.version):
            return False
        driver = SwitchDriver(
            self._tools.link,
            self._clock,
            plan,
            seen,
            self._tools.meters,
            fetch_s=sizes.fetch_s * outlook.most_loads,
            pace=watch.pace,
        )
        await self._drive(plan, seen, driver, sizes.settle_s)
        return True

    async def _decide(self, plan: GroupPlan, after: int) -> bool:
        req = PlanRequest(plan, after)
        command = DecideGroupPlan(req, self._tools.store.wall())
        try:
            reply: PlanReply = await self._tools.store.execute(command)
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
        seen: Seen,
        driver: SwitchDriver,
        settle_s: float,
    ) -> None:
        self._tell(GroupPhase.SWITCHING, seen)
        phase = await driver.run(lambda: self._tools.lead.may_order)
        if self.watch is not None:
            self.watch.renew_pace()
        shown_at = self._clock.now() + settle_s
        if phase is Phase.LET_GO:
            # The pass before it must end first.
            told_s = self.watch.told_pass_s if self.watch else None
            shown_at += max(LONG_PASS_S, told_s or 0)
        self._last.note_end(plan.version, phase, driver.hold_step, shown_at)
        self._eyes.forget(self.key)

    def _tell(self, phase: GroupPhase, seen: Seen | None) -> None:
        """Tell entries of the group, and who holds it back."""
        if seen is None:
            members = tuple(sorted(self._eyes.members(self.key)))
        else:
            members = seen.identities
        self._tools.keeper.tell_group(
            UpstreamGroupStatus(
                self.key.group,
                self.key.service,
                phase,
                members,
                tuple(sorted(seen.slow)) if seen else (),
            )
        )
