"""Sends an agent's orders about expert maps to its engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.orders.messages import EngineOrder, MapAction, OrderOutcome

if TYPE_CHECKING:
    from snipebend.experts.switch_messages import SwitchDecision
    from snipebend.kernel.clock import Clock
    from snipebend.transport.engine_client import EngineClient
    from snipebend.transport.orders_api import OrdersApi

#: Seconds until the deadline of an order about an expert map.
MAP_ORDER_TIMEOUT_S = 5.0


class MapOrders:
    """Builds map orders and sends them through the agent's fence gate."""

    def __init__(self, orders: OrdersApi, clock: Clock) -> None:
        """Store the orders service, which holds the gate, and the clock."""
        self.clock = clock
        self._orders = orders

    @property
    def engine(self) -> EngineClient:
        """Return the engine's client, for queries that need no fence."""
        return self._orders.engine

    def fence(self, group: str) -> int:
        """Return the highest known fence of a group."""
        return self._orders.gate.fence(group)

    def record_fence(self, group: str, fence: int) -> None:
        """Record the fence of an order that the rank's guard has accepted."""
        self._orders.gate.record_fence(group, fence)

    async def send(
        self,
        group: str,
        fence: int,
        decision: SwitchDecision,
        action: MapAction,
    ) -> bool:
        """Send an order; return whether the engine executed it."""
        order = EngineOrder(
            kind='expert-map',
            group=group,
            fence=fence,
            deadline_at=self.clock.wall() + MAP_ORDER_TIMEOUT_S,
            target=decision.digest,
            map_action=action,
            map_version=decision.stamp.map_version,
            incarnation=decision.stamp.incarnation,
            at_step=decision.step,
        )
        reply = await self._orders.order(order)
        return reply.outcome is OrderOutcome.EXECUTED
