"""Orders to engines without agents, and the reports that these engines return.

The control leader sends the orders directly. A ``step`` is the number of a
pass. ``switch_messages`` has types of the same names (``Prepare``,
``RankReport``, ``RankOrder``) for groups with agents.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from snipebend.experts.layer_state import LayerMap


class Armed(NamedTuple):
    """The map version that a rank will activate at the start of a pass."""

    version: int
    step: int


class RankReport(NamedTuple):
    """The state reported by one engine; a few hundred milliseconds old."""

    identity: str
    group: str
    epoch: int
    rank: int
    #: Number of ranks in the group.
    size: int
    #: Whether the group is operational.
    is_open: bool
    #: The last pass that the rank started.
    step: int
    map_version: int
    prepared: int | None = None
    armed: Armed | None = None
    held: int | None = None
    #: Duration of the rank's work relative to its usual duration.
    slowness: float = 1


class RankCounts(NamedTuple):
    """How often one rank's requests selected each expert since it started."""

    epoch: int
    step: int
    counts: tuple[int, ...]


class Prepare(NamedTuple):
    """Fetch the experts that a map newly assigns to the rank."""

    rank: int
    epoch: int
    version: int
    layers: tuple[LayerMap, ...]


class Arm(NamedTuple):
    """Activate a prepared map at the start of the given pass."""

    rank: int
    epoch: int
    version: int
    step: int


class Hold(NamedTuple):
    """Do not start the given pass before ``Go``."""

    rank: int
    epoch: int
    step: int


class Go(NamedTuple):
    """Start a pass that is on hold."""

    rank: int
    epoch: int
    step: int


RankOrder = Prepare | Arm | Hold | Go


class Reply(Enum):
    """The response of an engine to an order."""

    ACCEPTED = 'accepted'
    #: The order conflicts with the engine's state and is never executed.
    REFUSED = 'refused'
    #: No response: the engine may execute the order now, later or never.
    LOST = 'lost'
