"""Orders to engines, and the answers to them."""

from __future__ import annotations

from enum import Enum
from typing import Literal

from msgspec import Struct

OrderKind = Literal[
    'load',
    'unload',
    'adapter',
    'version',
    'role',
    'expert-map',
]
MapAction = Literal['prepare', 'activate', 'abort']


class EngineOrder(Struct, frozen=True, rename={'map_action': 'action'}):
    """An order as the engine takes it.

    ``deadline_at`` is wall time in seconds past which nobody may pass the
    order on. ``target`` names the model, adapter, version or role;
    ``at_step`` is the step that a prepared map holds at until it is activated
    or aborted, or the step from which an activated one is in force.
    """

    kind: OrderKind
    group: str
    fence: int
    deadline_at: float
    target: str = ''
    map_action: MapAction = 'prepare'
    map_version: int = 0
    incarnation: int = 0
    at_step: int = 0


class EngineState(Struct, frozen=True):
    """What an engine says of its expert map and its step."""

    map_version: int = 0
    incarnation: int = 0
    step: int = 0


class OrderOutcome(Enum):
    """What became of an order."""

    EXECUTED = 'executed'
    #: The order had no effect.
    REFUSED = 'refused'
    #: The engine did not answer: the order may have an effect.
    UNKNOWN = 'unknown'


class OrderReply(Struct, frozen=True):
    """The outcome, and the highest fence that the agent knows."""

    outcome: OrderOutcome
    fence: int = 0
    reason: str = ''
    state: EngineState = EngineState()
