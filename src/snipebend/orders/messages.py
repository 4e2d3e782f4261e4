"""Orders to engines, and their replies."""

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
    """An order in the form that the engine accepts.

    ``deadline_at`` is the wall time in seconds after which the order must not
    be forwarded. ``target`` names the model, adapter, version or role.
    ``at_step`` is the step before which a prepared map holds until it is
    activated or aborted, or the step from which an activated map is in force.
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
    """The expert map and the step reported by an engine."""

    map_version: int = 0
    incarnation: int = 0
    step: int = 0


class OrderOutcome(Enum):
    """The outcome of an order."""

    EXECUTED = 'executed'
    #: The order had no effect.
    REFUSED = 'refused'
    #: The engine did not respond; the order may have taken effect.
    UNKNOWN = 'unknown'


class OrderReply(Struct, frozen=True):
    """The outcome of an order and the highest fence known to the agent."""

    outcome: OrderOutcome
    fence: int = 0
    reason: str = ''
    state: EngineState = EngineState()
