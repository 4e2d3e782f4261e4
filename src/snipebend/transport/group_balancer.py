"""The control leader's balancing of expert maps over engines without agents."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from grpclib.exceptions import GRPCError
from loguru import logger

from snipebend.experts.direct_switch import Phase
from snipebend.experts.group_watch import ExpertSizes, GroupWatch, Outlook
from snipebend.kernel.service import Service
from snipebend.state.commands import DecideGroupPlan
from snipebend.state.group_plans import GroupPlan, PlanReply, PlanRequest
from snipebend.transport.control_meters import BalancerMeters
from snipebend.transport.count_reader import CountReader
from snipebend.transport.engine_sizes import expert_services
from snipebend.transport.group_eyes import GroupEyes
from snipebend.transport.host_keeper import HostKeeper
from snipebend.transport.replicated_state import ReplicatedState
from snipebend.transport.switch_driver import SwitchDriver

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from snipebend.experts.direct_orders import RankReport
    from snipebend.hosts.model import HostTable
    from snipebend.kernel.registry import Registry
    from snipebend.transport.group_eyes import EngineLink, Seen

#: Seconds between two looks at the demand.
LOOK_EVERY_S = 0.3

#: Seconds to the next look while the demand turns.
TURNING_EVERY_S = 0.15

#: Seconds after which reports show every order that was given before: they
#: are some hundred milliseconds old.
SETTLE_S = 0.6

#: Seconds before a group that couldn't be seen whole is looked at again: one
#: report that is lost on the way is enough for that.
BLIND_S = 0.3

#: Seconds between two looks whether this daemon leads now. A group may be held
#: and stand still since its last leader died: at 1 s it did so 0.5 s longer in
#: the mean.
IDLE_EVERY_S = 0.05


class GroupBalancer(Service):
    """Watches each group's demand and drives its switches, while it leads."""

    def __init__(
        self,
        name: str,
        link: EngineLink,
        table: Callable[[], HostTable | None],
    ) -> None:
        """Keep the way to engines; ``table`` returns the document in force."""
        super().__init__(name)
        self._link = link
        self._table = table
        self._watches: dict[str, GroupWatch] = {}
        self._refused: dict[str, int] = {}
        self._meters = BalancerMeters()
        self._term = 0
        #: When reports show all orders that were given before.
        self._settled_at: float = 0

    async def start(self, registry: Registry) -> None:
        """Start the task."""
        self._clock = registry.clock
        self._eyes = GroupEyes(self._link, registry.clock)
        self._counts = CountReader(self._link, registry.clock)
        self._store = registry.find('state', ReplicatedState)
        self._keeper = registry.find('hosts', HostKeeper)
        registry.tasks.start('balance', self._balance_for_ever)

    async def stop(self) -> None:
        """Close the connections to engines."""
        await self._link.close()

    def dump(self) -> Mapping[str, object]:
        """Return how far each group's demand was followed."""
        return {
            watch.group: {
                'epoch': watch.epoch,
                'step': watch.step,
                'turning': watch.turning,
            }
            for watch in self._watches.values()
        }

    def _may_order(self) -> bool:
        """Tell whether nobody else can give orders."""
        group = self._store.group
        return group is not None and group.replica.has_lease

    async def _balance_for_ever(self) -> None:
        while True:
            await asyncio.sleep(await self.look())

    async def look(self) -> float:
        """Look at all groups, if this daemon may; return the pause then."""
        self._note_term()
        if not self._may_order():
            self._keeper.forget_slow()
            return IDLE_EVERY_S
        pauses_s = [BLIND_S]
        for service, sizes in expert_services(self._table()):
            pauses_s.append(await self._look_at(service, sizes))
        return min(pauses_s)

    def _note_term(self) -> None:
        """Let the orders of the last leader show before giving any."""
        group = self._store.group
        term = group.replica.status.term if group else 0
        if term != self._term:
            self._term = term
            self._settled_at = self._clock.now() + SETTLE_S

    async def _look_at(self, service: str, sizes: ExpertSizes) -> float:
        """Look at one service's group; return the pause after it."""
        state = self._store.machine.state
        seen = await self._eyes.see(service, state.roster)
        if seen is None:
            return BLIND_S
        self._keeper.tell_slow(service, seen.slow)
        if self._clock.now() < self._settled_at:
            # Orders must wait, the look at demand need not.
            await self._counts.read(self._watch(sizes, seen.any_report), seen)
            self._eyes.forget(service)
            return TURNING_EVERY_S
        plan = state.plans.latest(seen.any_report.group)
        if self._is_unfinished(plan, seen):
            driver = SwitchDriver(
                self._link, self._clock, plan, seen, self._meters
            )
            await self._drive(service, plan, driver)
            return TURNING_EVERY_S
        watch = self._watch(sizes, seen.any_report)
        watch.slowness = seen.slowness
        before = watch.step
        if not await self._counts.read(watch, seen):
            self._eyes.forget(service)
            return LOOK_EVERY_S
        if watch.step == before:
            # No pass began: it is idle, or it is held.
            self._eyes.forget(service)
        layers = await self._eyes.map_in_force(sizes, seen, plan)
        if layers is None:
            self._eyes.forget(service)
            return LOOK_EVERY_S
        outlook = watch.look(layers)
        if seen.is_held:
            # A hold whose order came late: only a switch ends it.
            outlook = Outlook(layers)
        if outlook is None:
            return TURNING_EVERY_S if watch.turning else LOOK_EVERY_S
        await self._change(service, sizes, seen, plan, outlook)
        return TURNING_EVERY_S

    def _is_unfinished(self, plan: GroupPlan, seen: Seen) -> bool:
        """Tell whether a decided switch has yet to be made."""
        if not plan.version or plan.epoch != seen.any_report.epoch:
            return False
        if self._refused.get(plan.group) == plan.version:
            return False
        return seen.map_versions != {plan.version}

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

    async def _change(
        self,
        service: str,
        sizes: ExpertSizes,
        seen: Seen,
        before: GroupPlan,
        outlook: Outlook,
    ) -> None:
        """Decide on a better map, and switch to it."""
        watch = self._watches[seen.any_report.group]
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
        self._meters.planned(
            plan.group, outlook.skew_before, outlook.skew_after
        )
        if await self._decide(plan, before.version):
            driver = SwitchDriver(
                self._link,
                self._clock,
                plan,
                seen,
                self._meters,
                fetch_s=sizes.fetch_s * outlook.most_loads,
                pace=watch.pace,
            )
            await self._drive(service, plan, driver)

    async def _decide(self, plan: GroupPlan, after: int) -> bool:
        req = PlanRequest(plan, after)
        command = DecideGroupPlan(req, self._store.wall())
        try:
            reply: PlanReply = await self._store.execute(command)
        except GRPCError as exc:
            logger.warning(
                'event=map_undecided group={} error={!r}',
                plan.group,
                str(exc.message),
            )
            return False
        return reply.accepted

    async def _drive(
        self, service: str, plan: GroupPlan, driver: SwitchDriver
    ) -> None:
        phase = await driver.run(self._may_order)
        for watch in self._watches.values():
            if watch.group == plan.group:
                watch.renew_pace()
        if phase is Phase.REFUSED:
            self._refused[plan.group] = plan.version
        if phase is not Phase.DONE:
            self._settled_at = self._clock.now() + SETTLE_S
        self._eyes.forget(service)
