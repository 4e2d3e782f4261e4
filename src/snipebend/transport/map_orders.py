"""Orders about expert maps, as the agent gives them to its engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.orders.messages import EngineOrder, MapAction, OrderOutcome

if TYPE_CHECKING:
    from snipebend.experts.switch_messages import SwitchDecision
    from snipebend.kernel.clock import Clock
    from snipebend.transport.engine_client import EngineClient
    from snipebend.transport.orders_api import OrdersApi

#: Seconds that an order about a map may take.
MAP_ORDER_S = 5.0


class MapOrders:
    """Writes the orders and passes them through the agent's gate."""

    def __init__(self, orders: OrdersApi, clock: Clock) -> None:
        """Keep the gate and the clock."""
        self.clock = clock
        self._orders = orders

    @property
    def engine(self) -> EngineClient:
        """Return the engine, for questions that need no fence."""
        return self._orders.engine

    def fence(self, group: str) -> int:
        """Return the highest fence known."""
        return self._orders.gate.fence(group)

    def learn(self, group: str, fence: int) -> None:
        """Note the fence of an order that the guard has taken."""
        self._orders.gate.record_fence(group, fence)

    async def give(
        self,
        group: str,
        fence: int,
        decision: SwitchDecision,
        action: MapAction,
    ) -> bool:
        """Give an order; return whether the engine executed it."""
        order = EngineOrder(
            kind='expert-map',
            group=group,
            fence=fence,
            deadline_at=self.clock.wall() + MAP_ORDER_S,
            target=decision.digest,
            map_action=action,
            map_version=decision.stamp.map_version,
            incarnation=decision.stamp.incarnation,
            at_step=decision.step,
        )
        reply = await self._orders.order(order)
        return reply.outcome is OrderOutcome.EXECUTED
