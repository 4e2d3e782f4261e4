"""Orders about expert maps, as the agent gives them to its engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.orders.messages import EngineOrder, MapAction, OrderOutcome

if TYPE_CHECKING:
    from snipebend.experts.switch_messages import SwitchDecision
    from snipebend.kernel.clock import Clock
    from snipebend.transport.orders_api import OrdersApi

#: Seconds that an order about a map may take.
MAP_ORDER_S = 5.0


class MapOrders:
    """Writes the orders and passes them through the agent's gate."""

    def __init__(self, orders: OrdersApi, clock: Clock) -> None:
        """Keep the gate and the clock."""
        self._orders = orders
        self._clock = clock

    def write(
        self,
        group: str,
        fence: int,
        decision: SwitchDecision,
        action: MapAction,
    ) -> EngineOrder:
        """Write an order; the engine holds at, or switches at, its step."""
        return EngineOrder(
            kind='expert-map',
            group=group,
            fence=fence,
            deadline_at=self._clock.wall() + MAP_ORDER_S,
            target=decision.digest,
            map_action=action,
            map_version=decision.stamp.map_version,
            incarnation=decision.stamp.incarnation,
            at_step=decision.step,
        )

    async def tell(self, order: EngineOrder) -> bool:
        """Give an order; return whether the engine executed it."""
        reply = await self._orders.order(order)
        return reply.outcome is OrderOutcome.EXECUTED
