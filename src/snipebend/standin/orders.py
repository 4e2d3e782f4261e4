"""Executes orders to the stand-in engine, optionally checking their fence."""

from __future__ import annotations

from typing import Literal, NamedTuple

from msgspec import Raw, Struct
from result import Err, Ok, Result

from snipebend.errors.hierarchy import ConflictError

STEP_NAME = 'order'

OrderKind = Literal[
    'load', 'unload', 'adapter', 'version', 'role', 'expert-map'
]
MapAction = Literal['prepare', 'activate', 'abort']


class Order(Struct, frozen=True, rename={'map_action': 'action'}):
    """An order; the last four fields apply to the kind ``expert-map`` only.

    For a prepared map, ``at_step`` is the step at which the engine holds until
    the map is activated or aborted; for an activated map, it is the step from
    which the map is in force.
    """

    kind: OrderKind
    group: str
    fence: int
    map_action: MapAction = 'prepare'
    map_version: int = 0
    incarnation: int = 0
    at_step: int = 0


class RankState(Struct, frozen=True):
    """The expert map in force on a rank at a step."""

    map_version: int = 0
    incarnation: int = 0
    step: int = 0


class _MapId(NamedTuple):
    map_version: int
    incarnation: int


class OrderExecutor:
    """Executes orders in memory and records their bodies as sent."""

    def __init__(self, *, check_fence: bool) -> None:
        """Create an executor with expert map version 0 and no fences."""
        self._check_fence = check_fence
        self._fences: dict[str, int] = {}
        self._prepared: set[_MapId] = set()
        self._pending: list[Order] = []
        self._in_force = _MapId(0, 0)
        self.hold_step: int | None = None
        self._held_map_id = _MapId(0, 0)
        self.executed: list[Raw] = []

    def execute(
        self,
        order: Order,
        body: Raw,
        step: int,
    ) -> Result[RankState, ConflictError]:
        """Execute an order at a step; a refused order changes nothing.

        An order is refused if its fence is below the highest one received for
        its group (if fences are checked), or if it activates a map that was
        never prepared.
        """
        highest = self._fences.get(order.group, 0)
        if self._check_fence and order.fence < highest:
            text = f'stale fence {order.fence}, highest seen {highest}'
            return Err(ConflictError(text, step=STEP_NAME))
        map_id = _MapId(order.map_version, order.incarnation)
        if _is_activation(order) and map_id not in self._prepared:
            text = f'map {order.map_version} was never prepared'
            return Err(ConflictError(text, step=STEP_NAME))
        self._fences[order.group] = max(highest, order.fence)
        self.executed.append(body)
        if order.kind == 'expert-map':
            self._change_map(order, map_id, step)
        return Ok(self.rank_state(step))

    def _change_map(self, order: Order, map_id: _MapId, step: int) -> None:
        match order.map_action:
            case 'prepare':
                self._prepared.add(map_id)
                self._held_map_id = map_id
                # The engine does not hold at a step that has passed; the
                # reply reports the current step instead.
                passed = order.at_step <= step
                self.hold_step = None if passed else order.at_step
            case 'activate':
                self._pending.append(order)
                self._end_hold(map_id)
            case 'abort':
                self._prepared.discard(map_id)
                self._end_hold(map_id)

    def _end_hold(self, map_id: _MapId) -> None:
        """End the hold for a map, unless the hold is for a later map."""
        if self._held_map_id == map_id:
            self.hold_step = None

    def rank_state(self, step: int) -> RankState:
        """Apply all activations due at a step; return the rank's state."""
        due = [order for order in self._pending if order.at_step <= step]
        for order in sorted(due, key=_activation_step):
            self._pending.remove(order)
            self._in_force = _MapId(order.map_version, order.incarnation)
        return RankState(*self._in_force, step)


def _is_activation(order: Order) -> bool:
    return order.kind == 'expert-map' and order.map_action == 'activate'


def _activation_step(order: Order) -> int:
    return order.at_step
