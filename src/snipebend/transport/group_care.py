"""The control leader's care for one group of engines: its map fits demand."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from grpclib.exceptions import GRPCError
from loguru import logger

from snipebend.experts.direct_switch import Phase
from snipebend.experts.group_watch import GroupWatch, Outlook
from snipebend.experts.reading_plan import Reading, ReadingPlan
from snipebend.state.commands import DecideGroupPlan
from snipebend.state.group_plans import GroupPlan, PlanReply, PlanRequest
from snipebend.state.host_news import GroupPhase, GroupStanding
from snipebend.transport.group_eyes import GroupKey
from snipebend.transport.switch_driver import SwitchDriver

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from snipebend.experts.direct_orders import RankReport
    from snipebend.experts.group_pace import GroupPaces
    from snipebend.experts.group_watch import ExpertSizes
    from snipebend.kernel.clock import Clock
    from snipebend.state.roster import UpstreamRecord
    from snipebend.transport.control_meters import BalancerMeters
    from snipebend.transport.count_reader import CountReader
    from snipebend.transport.group_eyes import EngineLink, GroupEyes, Seen
    from snipebend.transport.host_keeper import HostKeeper
    from snipebend.transport.replicated_state import ReplicatedState

#: Seconds between two looks at a group: about a pass. Most look only at what
#: entries have told.
LOOK_EVERY_S = 0.05

#: Seconds without a pass after which a group counts as idle: reports are read
#: every second, and are some hundred milliseconds old.
IDLE_AFTER_S = 1.5

#: Seconds before a group that couldn't be seen whole is looked at again: one
#: report that is lost on the way is enough for that.
BLIND_S = 0.3


#: Seconds of a long pass: of a group with a map that doesn't fit its demand.
LONG_PASS_S = 0.15


class Lead:
    """Whether this daemon gives orders now, and since when it may."""

    def __init__(self, store: ReplicatedState, clock: Clock) -> None:
        """Start before the first look."""
        self._store = store
        self._clock = clock
        self._term = 0
        #: Since when no other daemon gives orders.
        self.since: float = 0

    @property
    def may_order(self) -> bool:
        """Tell whether nobody else can give orders."""
        group = self._store.group
        return group is not None and group.replica.has_lease

    def note_term(self) -> None:
        """Note when a term begins: orders of the last leader must show."""
        group = self._store.group
        term = group.replica.status.term if group else 0
        if term != self._term:
            self._term = term
            self.since = self._clock.now()


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


class GroupCare:
    """Watches one group's demand and drives its switches."""

    def __init__(self, key: GroupKey, tools: CareTools) -> None:
        """Start without having seen the group."""
        self.key = key
        self.watch: GroupWatch | None = None
        self._tools = tools
        self._clock = tools.clock
        self._eyes = tools.eyes
        self._plan = ReadingPlan(0)
        #: The last pass that was reported, and when it was news.
        self._step = 0
        self._moved_at: float = 0
        #: The version of a plan that a rank refused.
        self._refused = 0
        self._settled_at: float = 0
        #: When reports show a switch that was just let go.
        self._shown_at: float = 0

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
        if self._clock.now() < self._shown_at:
            return LOOK_EVERY_S
        seen = await self._eyes.see(self.key, members)
        if seen is None:
            if self._eyes.is_broken(self.key):
                self._tell(GroupPhase.DOWN, None)
            return BLIND_S
        self._tell(GroupPhase.OPEN, seen)
        return await self._tend(sizes, seen)

    async def _tend(self, sizes: ExpertSizes, seen: Seen) -> float:
        """Follow the demand of a whole group, and answer it."""
        watch = self._watching(sizes, seen)
        watch.slowness = seen.slowness
        may_order = self._clock.now() >= self._may_order_at(sizes)
        state = self._tools.store.machine.state
        plan = state.plans.latest(self.key.group)
        if may_order and self._is_unfinished(plan, seen):
            driver = SwitchDriver(
                self._tools.link, self._clock, plan, seen, self._tools.meters
            )
            await self._drive(plan, seen, driver, sizes.settle_s)
            self._plan.note_changed(self._clock.now())
        elif may_order:
            if await self._read(watch, seen):
                await self._answer(sizes, seen, plan)
        else:
            # Orders must wait, the look at demand need not.
            self._eyes.forget(self.key)
            if not self._plan.spans:
                await self._read(watch, seen)
        return LOOK_EVERY_S

    async def _read(self, watch: GroupWatch, seen: Seen) -> bool:
        """Read counts if it is time; tell whether a span ended."""
        now = self._clock.now()
        pass_s = self._tools.paces.of_group(self.key.group, now)
        watch.told_pass_s = pass_s
        if pass_s is None and self._is_idle(seen, now):
            return seen.is_held
        reading = self._plan.next_reading(now, pass_s)
        if reading is Reading.NOTHING:
            return False
        is_new = self._plan.is_new
        read = await self._tools.counts.read(
            watch, seen, reading, is_new=is_new
        )
        if not read:
            self._plan.note_failed(now)
            self._eyes.forget(self.key)
            return False
        if reading is Reading.BEGIN or watch.turning:
            self._plan.note_begun(now)
            return False
        return True

    def _is_idle(self, seen: Seen, now: float) -> bool:
        step = max(report.step for report in seen.reports.values())
        if step != self._step:
            self._step = step
            self._moved_at = now
        return now > self._moved_at + IDLE_AFTER_S

    async def _answer(
        self, sizes: ExpertSizes, seen: Seen, plan: GroupPlan
    ) -> None:
        """Change the map, if another one is worth its loads."""
        watch = self._watching(sizes, seen)
        layers = await self._eyes.map_in_force(sizes, seen, plan)
        if layers is None:
            self._plan.note_failed(self._clock.now())
            self._eyes.forget(self.key)
            return
        outlook = watch.look(layers)
        if seen.is_held:
            # A hold whose order came late: only a switch ends it.
            outlook = Outlook(layers)
        if outlook is None:
            self._plan.note_kept(self._clock.now(), watch.told_pass_s)
            return
        if await self._change(sizes, seen, plan, outlook):
            self._plan.note_changed(self._clock.now())
        else:
            self._plan.note_failed(self._clock.now())

    def _may_order_at(self, sizes: ExpertSizes) -> float:
        return max(self._settled_at, self._tools.lead.since + sizes.settle_s)

    def _is_unfinished(self, plan: GroupPlan, seen: Seen) -> bool:
        """Tell whether a decided switch has yet to be made."""
        if not plan.version or plan.epoch != seen.any_report.epoch:
            return False
        if self._refused == plan.version:
            return False
        return seen.map_versions != {plan.version}

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
            self._plan = ReadingPlan(sizes.pause_s)
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
        plan = GroupPlan(
            watch.group, watch.epoch, before.version + 1, outlook.layers
        )
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
        if phase is Phase.REFUSED:
            self._refused = plan.version
        after_s = self._clock.now() + settle_s
        if phase is Phase.LET_GO:
            # The pass before it must end first.
            told_s = self.watch.told_pass_s if self.watch else None
            self._shown_at = after_s + max(LONG_PASS_S, told_s or 0)
        elif phase is not Phase.DONE:
            self._settled_at = after_s
        self._eyes.forget(self.key)

    def _tell(self, phase: GroupPhase, seen: Seen | None) -> None:
        """Tell entries of the group, and who holds it back."""
        if seen is None:
            members = tuple(sorted(self._eyes.members(self.key)))
        else:
            members = seen.identities
        self._tools.keeper.tell_group(
            GroupStanding(
                self.key.group,
                self.key.service,
                phase,
                members,
                tuple(sorted(seen.slow)) if seen else (),
            )
        )
