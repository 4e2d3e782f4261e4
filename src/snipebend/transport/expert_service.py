"""The control leader's service for expert maps.

It runs one switch coordinator for each group of ranks.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple, Protocol
from uuid import uuid4

from snipebend.experts.switch_store import StoreSchedule
from snipebend.kernel.service import Service
from snipebend.orders.expert_load import GroupStatusQuery, GroupStatusReply
from snipebend.orders.issuer import IssuerConfig
from snipebend.transport.group_switch import GroupSwitch
from snipebend.transport.map_planning import MapPlanner, RoundRobinPlanner
from snipebend.transport.rank_methods import GROUP_STATUS
from snipebend.transport.rpc_clients import RpcClients
from snipebend.transport.rpc_server import Endpoint, RpcServer
from snipebend.transport.switch_links import SwitchLinks

if TYPE_CHECKING:
    from asyncio import Task
    from collections.abc import Iterable, Mapping

    from snipebend.fleet.model import Fencing, Fleet, Group
    from snipebend.kernel.registry import Registry
    from snipebend.membership.messages import Announcement
    from snipebend.transport.switch_links import DecisionStore, Leadership

#: Seconds between two checks of leadership, fleet and directory.
CHECK_INTERVAL_S = 0.2


_DEFAULT_LEASE = IssuerConfig()


class ExpertConfig(NamedTuple):
    """Durations in seconds.

    A new leader uses the directory only ``settle_s`` after its election.
    Rebalancing is considered every ``rebalance_s``. The weight store's schedule
    reaches at least ``horizon_s`` ahead; a new leader waits that long, as it
    doesn't know the reservations of its predecessor.
    """

    settle_s: float = 5.0
    rebalance_s: float = 10.0
    horizon_s: float = 2.0
    lease: IssuerConfig = _DEFAULT_LEASE


class FleetView(Protocol):
    """The fleet and the upstreams as this process knows them."""

    def fleet(self) -> Fleet | None:
        """Return the fleet in force."""

    def upstreams(self) -> Iterable[Announcement]:
        """Return the upstreams whose announcements have not expired."""


PlannerFactory = Callable[['Group', 'Fleet'], MapPlanner]


class _RunningGroup(NamedTuple):
    switch: GroupSwitch
    tasks: tuple[Task[None], ...]


class ExpertService(Service):
    """Runs the map switches of all groups while this daemon is the leader."""

    def __init__(
        self,
        name: str,
        server: RpcServer,
        store: DecisionStore,
        leadership: Leadership,
        view: FleetView,
        planner: PlannerFactory | None = None,
        cfg: ExpertConfig | None = None,
    ) -> None:
        """Add the status endpoint to the server."""
        super().__init__(name)
        self._store = store
        self._leadership = leadership
        self._view = view
        self._planner = planner or _build_round_robin_planner
        self._cfg = cfg or ExpertConfig()
        self._clients = RpcClients()
        self._running_groups: dict[str, _RunningGroup] = {}
        self._leading_since: float | None = None
        server.add(Endpoint(GROUP_STATUS, self.group_status))

    async def start(self, registry: Registry) -> None:
        """Start checking for leadership and groups."""
        self._clock = registry.clock
        self._tasks = registry.tasks
        self._tasks.start('expert-maps', self._run_checks)

    async def stop(self) -> None:
        """Stop all coordinators; the next leader resumes their switches."""
        self._stop_groups(tuple(self._running_groups))
        self._clients.close()

    def dump(self) -> Mapping[str, object]:
        """Return each group's phase, map version and last decision."""
        return {
            name: {
                'phase': status.phase,
                'incarnation': status.incarnation,
                'map_version': status.map_version,
                'last_decision': status.last_decision,
                'reason': status.reason,
            }
            for name, driven in self._running_groups.items()
            for status in (driven.switch.status(),)
        }

    async def group_status(self, req: GroupStatusQuery) -> GroupStatusReply:
        """Return the status of all groups if this daemon is the leader."""
        groups = tuple(
            driven.switch.status() for driven in self._running_groups.values()
        )
        return GroupStatusReply(self._leadership.leads, groups)

    async def _run_checks(self) -> None:
        while True:
            self._check()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _check(self) -> None:
        fleet = self._view.fleet()
        if not self._leadership.leads or fleet is None:
            self._leading_since = None
            self._stop_groups(tuple(self._running_groups))
            return
        if self._leading_since is None:
            self._leading_since = self._clock.now()
            self._schedule = self._build_store_schedule(fleet)
        self._sync_groups(fleet)
        if self._clock.now() >= self._leading_since + self._cfg.settle_s:
            self._update_ranks()

    def _sync_groups(self, fleet: Fleet) -> None:
        """Start new groups, restart changed ones and stop removed ones."""
        configured = {group.name: group for group in fleet.groups}
        self._stop_groups(
            [
                name
                for name, driven in self._running_groups.items()
                if configured.get(name) != driven.switch.group
            ],
        )
        for name, group in configured.items():
            if name not in self._running_groups:
                self._running_groups[name] = self._start_group(group, fleet)

    def _start_group(self, group: Group, fleet: Fleet) -> _RunningGroup:
        links = SwitchLinks(
            self._store,
            self._clients,
            self._clock,
            self._tasks,
            self._schedule,
            uuid4().hex,
        )
        switch = GroupSwitch(
            group,
            _group_fencing(group, fleet),
            links,
            self._planner(group, fleet),
            self._cfg.lease,
        )
        tasks = (
            self._tasks.start(f'switch-{group.name}', switch.run),
            self._tasks.start(
                f'rebalance-{group.name}',
                lambda: self._run_rebalancing(switch),
            ),
        )
        return _RunningGroup(switch, tasks)

    async def _run_rebalancing(self, switch: GroupSwitch) -> None:
        while True:
            await asyncio.sleep(self._cfg.rebalance_s)
            await switch.rebalance()

    def _stop_groups(self, names: Iterable[str]) -> None:
        for name in names:
            for task in self._running_groups.pop(name).tasks:
                task.cancel()

    def _update_ranks(self) -> None:
        upstreams = tuple(self._view.upstreams())
        for driven in self._running_groups.values():
            policies = driven.switch.group.upstreams
            ranks = [one for one in upstreams if one.policy in policies]
            driven.switch.update_ranks(
                {one.upstream: one.grpc_address for one in ranks},
                self._compute_utilisation(ranks),
            )

    def _compute_utilisation(self, ranks: list[Announcement]) -> float:
        """Return the running requests as a share of the ranks' capacity."""
        fleet = self._view.fleet()
        policies = fleet.upstreams if fleet else ()
        limits = {policy.name: policy.max_concurrency for policy in policies}
        capacity = sum(limits.get(one.policy, 0) for one in ranks)
        running = sum(one.running for one in ranks)
        return running / capacity if capacity else 0

    def _build_store_schedule(self, fleet: Fleet) -> StoreSchedule:
        """Create the schedule of the weight store, which all groups share.

        Its rate is the lowest that any group configures. Its horizon covers the
        time to load all weights of any group twice.
        """
        rates = [group.store_bytes_per_s for group in fleet.groups]
        rate = min(rates, default=1)
        longest_s = (
            max(map(_group_weight_bytes, fleet.groups), default=0) / rate
        )
        return StoreSchedule(
            rate,
            horizon_s=max(self._cfg.horizon_s, 2 * longest_s),
            started_at=self._clock.wall(),
        )


def _group_weight_bytes(group: Group) -> int:
    slots = group.ranks * group.layers * group.experts_per_rank
    return slots * group.expert_bytes


def _build_round_robin_planner(group: Group, fleet: Fleet) -> MapPlanner:
    return RoundRobinPlanner(group)


def _group_fencing(group: Group, fleet: Fleet) -> Fencing:
    """Return 'ignored' if any engine in the group ignores fences."""
    policies = {policy.name: policy for policy in fleet.upstreams}
    kinds = {policies[name].fencing for name in group.upstreams}
    return 'ignored' if 'ignored' in kinds else 'checked'
