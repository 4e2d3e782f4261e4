"""The agent's gRPC service for expert map switches on its rank."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from snipebend.experts.switch_events import Tick
from snipebend.experts.switch_messages import RankOrder, RankReport
from snipebend.kernel.service import Service
from snipebend.transport.map_orders import MapOrders
from snipebend.transport.orders_api import OrdersApi
from snipebend.transport.rank_methods import ACTIVATE, PREPARE, RANK_STATUS
from snipebend.transport.rank_switch import RankSwitch
from snipebend.transport.rpc_server import Endpoint, RpcServer

if TYPE_CHECKING:
    from collections.abc import Mapping

    from snipebend.kernel.registry import Registry
    from snipebend.transport.fence_reader import FenceReader

#: Seconds between two ticks of the rank guards.
TICK_S = 0.1


class RankApi(Service):
    """Runs a ``RankSwitch`` for each group that sends orders to this rank."""

    def __init__(
        self,
        name: str,
        server: RpcServer,
        rank: str,
        reader: FenceReader,
    ) -> None:
        """Add the endpoints to the server; ``rank`` names the upstream."""
        super().__init__(name)
        self._rank = rank
        self._reader = reader
        self._switches: dict[str, RankSwitch] = {}
        server.add(
            Endpoint(PREPARE, self.handle_order),
            Endpoint(ACTIVATE, self.handle_order),
            Endpoint(RANK_STATUS, self.handle_order),
        )

    async def start(self, registry: Registry) -> None:
        """Look up the orders service; promises of an earlier run are lost."""
        self._tasks = registry.tasks
        self._orders = registry.find('orders', OrdersApi)
        self._maps = MapOrders(self._orders, registry.clock)
        self._tasks.start('rank-ticks', self._run_ticks)

    def dump(self) -> Mapping[str, object]:
        """Return each group's guard with its stamps and promise."""
        return {
            group: switch.dump() for group, switch in self._switches.items()
        }

    async def handle_order(self, order: RankOrder) -> RankReport:
        """Let the group's guard handle an order; return its report."""
        await self._orders.read_fence(order.group)
        if not self._orders.gate.has_fence(order.group):
            raise GRPCError(
                Status.UNAVAILABLE, f'fence of group {order.group} is unknown'
            )
        return await self._find_switch(order.group).handle_order(order)

    def _find_switch(self, group: str) -> RankSwitch:
        if group not in self._switches:
            self._switches[group] = RankSwitch(
                group,
                self._rank,
                self._maps,
                self._reader,
                self._tasks,
            )
        return self._switches[group]

    async def _run_ticks(self) -> None:
        while True:
            for switch in tuple(self._switches.values()):
                switch.handle_event(Tick())
            await asyncio.sleep(TICK_S)
