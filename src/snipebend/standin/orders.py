"""Orders to the stand-in engine, with or without a check of the fence."""

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
    """An order; the fields of the expert map matter to that kind alone.

    ``at_step`` is the step that a prepared map holds at until it is activated
    or aborted, or the step from which an activated one is in force.
    """

    kind: OrderKind
    group: str
    fence: int
    map_action: MapAction = 'prepare'
    map_version: int = 0
    incarnation: int = 0
    at_step: int = 0


class RankState(Struct, frozen=True):
    """The expert map in force on the rank at a step."""

    map_version: int = 0
    incarnation: int = 0
    step: int = 0


class _MapId(NamedTuple):
    map_version: int
    incarnation: int


class OrderDesk:
    """Executes orders in memory and remembers them as they were sent."""

    def __init__(self, *, check_fence: bool) -> None:
        """Start with the empty expert map and no fence seen."""
        self._check_fence = check_fence
        self._fences: dict[str, int] = {}
        self._prepared: set[_MapId] = set()
        self._pending: list[Order] = []
        self._in_force = _MapId(0, 0)
        self.hold_step: int | None = None
        self._held_for = _MapId(0, 0)
        self.executed: list[Raw] = []

    def execute(
        self,
        order: Order,
        body: Raw,
        step: int,
    ) -> Result[RankState, ConflictError]:
        """Execute an order at a step; a refused one changes nothing.

        Refused are a fence below the highest seen of its group (if fences are
        checked) and the activation of a map that was never prepared.
        """
        highest = self._fences.get(order.group, 0)
        if self._check_fence and order.fence < highest:
            text = f'stale fence {order.fence}, highest seen {highest}'
            return Err(ConflictError(text, step=STEP_NAME))
        map_id = _MapId(order.map_version, order.incarnation)
        if _activates(order) and map_id not in self._prepared:
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
                self._held_for = map_id
                # A hold step that has passed is reported, not obeyed.
                passed = order.at_step <= step
                self.hold_step = None if passed else order.at_step
            case 'activate':
                self._pending.append(order)
                self._release(map_id)
            case 'abort':
                self._prepared.discard(map_id)
                self._release(map_id)

    def _release(self, map_id: _MapId) -> None:
        """End the hold for a map; that for a later one goes on."""
        if self._held_for == map_id:
            self.hold_step = None

    def rank_state(self, step: int) -> RankState:
        """Return the rank's state once all due activations are done."""
        due = [order for order in self._pending if order.at_step <= step]
        for order in sorted(due, key=_activation_step):
            self._pending.remove(order)
            self._in_force = _MapId(order.map_version, order.incarnation)
        return RankState(*self._in_force, step)


def _activates(order: Order) -> bool:
    return order.kind == 'expert-map' and order.map_action == 'activate'


def _activation_step(order: Order) -> int:
    return order.at_step
