"""Runs the switch coordinator of a group while this daemon holds its fence."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from grpclib.exceptions import GRPCError
from loguru import logger

from snipebend.experts.switch_coordinator import SwitchCoordinator
from snipebend.experts.switch_cost import fetch_bytes, read_decision
from snipebend.experts.switch_events import (
    CoordinatorAction,
    CoordinatorEvent,
    MapProposed,
    NeedMap,
    PersistDecision,
    RankReported,
    RanksAnnounced,
    RecordCommitted,
    SendOrder,
    SwitchEnded,
    Tick,
)
from snipebend.experts.switch_messages import RecordChange
from snipebend.experts.switch_states import CoordinatorConfig, Idle
from snipebend.kernel.mailbox import Mailbox
from snipebend.orders.expert_load import (
    ExpertLoadQuery,
    ExpertLoadReply,
    GroupStatus,
)
from snipebend.orders.issuer import IssuerConfig, OrderIssuer
from snipebend.state.expert_maps import MapDecision, MapQuery
from snipebend.transport.map_planning import PlanningContext
from snipebend.transport.rank_methods import EXPERT_LOAD
from snipebend.transport.switch_links import RANK_TIMEOUT_S, call_rank
from snipebend.transport.switch_log import SwitchLog

if TYPE_CHECKING:
    from collections.abc import Mapping

    from snipebend.fleet.model import Fencing, Group
    from snipebend.transport.rpc_clients import RpcClients
    from snipebend.transport.map_planning import MapPlanner, Plan
    from snipebend.transport.switch_links import SwitchLinks

#: Seconds between two ticks of a coordinator.
TICK_S = 0.1

#: Steps between a proposal and its hold step for the ranks' replies, in
#: addition to the time of the fetches.
HOLD_MARGIN_STEPS = 16

#: Seconds for the ranks' replies after the last fetch has finished.
ANSWER_TIMEOUT_S = 30

#: Steps per second, to convert the time of the fetches to steps. If the hold
#: step turns out too early, the coordinator postpones it.
STEPS_PER_S = 25


class GroupSwitch:
    """Holds a group's fence and runs its coordinator."""

    def __init__(
        self,
        group: Group,
        fencing: Fencing,
        links: SwitchLinks,
        planner: MapPlanner,
        lease: IssuerConfig,
    ) -> None:
        """Create a switch that holds no fence and has no coordinator."""
        self.group = group
        self.coordinator: SwitchCoordinator | None = None
        self.issuer = OrderIssuer(lease, group.name, links.holder)
        self._fencing = fencing
        self._links = links
        self._planner = planner
        self._addresses: dict[str, str] = {}
        self._utilisation: float = 0
        self._mailbox: Mailbox[CoordinatorEvent] = Mailbox()
        self._rng = Random()
        self._planning = asyncio.Lock()
        self._log = SwitchLog(group.name)

    def status(self) -> GroupStatus:
        """Return the group's status for ``snipebend status``."""
        coordinator = self.coordinator
        if coordinator is None:
            return GroupStatus(self.group.name, 'waiting-for-fence')
        decision = coordinator.record.decision
        return GroupStatus(
            group=self.group.name,
            phase=type(coordinator.state).__name__.lower(),
            incarnation=coordinator.record.incarnation,
            map_version=decision.stamp.map_version if decision else 0,
            step=decision.step if decision else 0,
            members=decision.members if decision else (),
            skew=self._log.skew,
            moved_bytes=self._log.moved_bytes,
            last_decision=self._log.last_decision,
            reason=self._log.reason,
        )

    def update_ranks(
        self,
        addresses: Mapping[str, str],
        utilisation: float,
    ) -> None:
        """Update the addresses of the ranks that are alive, by rank name.

        ``utilisation`` is the share of their capacity in use.
        """
        self._addresses = dict(addresses)
        self._utilisation = utilisation
        self._mailbox.post(RanksAnnounced(tuple(sorted(addresses))))

    async def run(self) -> None:
        """Hold the fence and run the coordinator until cancelled."""
        while True:
            await self._maintain_fence()
            self._step_coordinator(await _next_event(self._mailbox))

    async def rebalance(self) -> None:
        """Collect the ranks' loads and propose the planner's map, if any."""
        coordinator = self.coordinator
        if coordinator is None or not isinstance(coordinator.state, Idle):
            return
        in_force = read_decision(coordinator.record.decision)
        if in_force is None:
            return
        loads = await _collect_loads(
            self._links.clients,
            dict(self._addresses),
            self.group.name,
        )
        decision = coordinator.record.decision
        context = PlanningContext(
            now=self._links.clock.wall(),
            changed_at_step=decision.step if decision else 0,
            utilisation=self._utilisation,
            store_free_at=self._links.schedule.busy_until,
        )
        async with self._planning:
            plan = await asyncio.to_thread(
                self._planner.rebalance,
                in_force,
                loads,
                context,
            )
        self._log.record_plan(plan)
        if plan.placed is not None:
            incarnation = coordinator.record.incarnation
            self._propose_map(coordinator, incarnation, plan)

    async def _maintain_fence(self) -> None:
        """Take or renew the fence; drop the coordinator without a lease."""
        now = self._links.clock.wall()
        if self.issuer.needs_renewal(now):
            await self._take_fence(now)
        now = self._links.clock.wall()
        if not self.issuer.has_valid_lease(now):
            self.coordinator = None
        elif (
            self.coordinator is None
            and self.issuer.orders_allowed_at(self._fencing) <= now
        ):
            await self._start_coordinator()

    async def _take_fence(self, now: float) -> None:
        try:
            reply = await self._links.store.take_fence(
                self.issuer.request(now),
            )
        except GRPCError as exc:
            logger.warning(
                'event=fence_not_taken group={} reason={!r}',
                self.group.name,
                exc.message,
            )
            return
        if self.issuer.apply_reply(reply):
            self.coordinator = None
            logger.info(
                'event=fence_taken group={} fence={}',
                self.group.name,
                reply.fence,
            )

    async def _start_coordinator(self) -> None:
        try:
            reply = await self._links.store.read_map(MapQuery(self.group.name))
        except GRPCError:
            # Retried at the next tick.
            return
        self.coordinator = SwitchCoordinator(
            CoordinatorConfig(
                self.group.name,
                self.group.ranks,
                prepare_s=self._links.schedule.horizon_s + ANSWER_TIMEOUT_S,
            ),
            self.issuer.fence,
            reply.record,
            self._links.schedule,
        )
        if self._addresses:
            self.update_ranks(self._addresses, self._utilisation)

    def _step_coordinator(self, event: CoordinatorEvent) -> None:
        coordinator = self.coordinator
        if coordinator is None:
            return
        now = self._links.clock.wall()
        for action in coordinator.step(event, now, self._rng):
            self._execute(coordinator, action)

    def _execute(
        self,
        coordinator: SwitchCoordinator,
        action: CoordinatorAction,
    ) -> None:
        match action:
            case SendOrder():
                self._links.tasks.once('rank-order', lambda: self._send(action))
            case PersistDecision(change):
                self._links.tasks.once(
                    'persist-decision',
                    lambda: self._persist(coordinator, change),
                )
            case NeedMap() if not self._planning.locked():
                self._links.tasks.once(
                    'place-experts',
                    lambda: self._plan_placement(coordinator, action),
                )
            case SwitchEnded():
                self._log.record_end(action, coordinator.record)

    async def _send(self, action: SendOrder) -> None:
        address = self._addresses.get(action.rank)
        if address is None:
            return
        answer = await call_rank(self._links.clients, address, action.order)
        if answer.is_ok():
            self._mailbox.post(RankReported(answer.unwrap()))

    async def _persist(
        self,
        coordinator: SwitchCoordinator,
        change: RecordChange,
    ) -> None:
        decision = MapDecision(self.group.name, self.issuer.fence, change)
        try:
            reply = await self._links.store.decide_map(decision)
        except GRPCError:
            # The coordinator repeats the action until the record is committed.
            return
        if self.coordinator is coordinator:
            self._mailbox.post(RecordCommitted(reply.record))

    async def _plan_placement(
        self,
        coordinator: SwitchCoordinator,
        need: NeedMap,
    ) -> None:
        """Plan in a thread, since a large group's map takes long."""
        if not isinstance(coordinator.state, Idle):
            return
        async with self._planning:
            plan = await asyncio.to_thread(
                self._planner.place,
                need.members,
                coordinator.record.settled + 1,
            )
        self._log.record_plan(plan)
        if plan.placed is not None:
            self._propose_map(coordinator, need.incarnation, plan)

    def _propose_map(
        self,
        coordinator: SwitchCoordinator,
        incarnation: int,
        plan: Plan,
    ) -> None:
        placed = plan.placed
        if placed is None:
            return
        ranks_without_map = coordinator.roster.ranks_without_map()
        current_map = read_decision(coordinator.record.decision)
        sizes = fetch_bytes(
            current_map, placed, self.group.expert_bytes, ranks_without_map
        )
        rate = plan.rate_share * self.group.store_bytes_per_s
        fetch_s = sum(sizes.values()) / rate
        digest = f'{placed.expert_map.digest():016x}'
        self._log.record_proposal(digest, sum(sizes.values()))
        self._mailbox.post(
            MapProposed(
                incarnation,
                placed.members,
                digest,
                sizes,
                HOLD_MARGIN_STEPS + int(fetch_s * STEPS_PER_S),
                placed.expert_map.encode(),
                plan.rate_share,
            ),
        )


async def _collect_loads(
    clients: RpcClients,
    addresses: Mapping[str, str],
    group: str,
) -> dict[str, ExpertLoadReply]:
    """Query all ranks concurrently; skip those that don't reply."""
    calls = (
        clients.call(
            address,
            EXPERT_LOAD,
            ExpertLoadQuery(group),
            timeout=RANK_TIMEOUT_S,
        )
        for address in addresses.values()
    )
    answers = await asyncio.gather(*calls)
    return {
        rank: answer.unwrap()
        for rank, answer in zip(addresses, answers, strict=True)
        if answer.is_ok()
    }


async def _next_event(
    mailbox: Mailbox[CoordinatorEvent],
) -> CoordinatorEvent:
    """Return the next event, or ``Tick`` after ``TICK_S`` without one.

    It doesn't use ``asyncio.wait_for``, which in Python 3.11 may swallow a
    cancellation that coincides with an event.
    """
    try:
        async with asyncio.timeout(TICK_S):
            return await mailbox.receive()
    except TimeoutError:
        return Tick()
