"""The orders that engines obey directly, and what they report of themselves."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from snipebend.experts.layer_state import LayerMap


class Armed(NamedTuple):
    """A rank will switch to a version as a pass begins."""

    version: int
    step: int


class RankReport(NamedTuple):
    """What one engine says of itself; some hundred milliseconds old."""

    identity: str
    group: str
    epoch: int
    rank: int
    #: Ranks of the group.
    size: int
    #: Whether the group works.
    is_open: bool
    #: The last pass that was begun.
    step: int
    map_version: int
    prepared: int | None = None
    armed: Armed | None = None
    held: int | None = None
    #: How many times as long its work takes as usual.
    slowness: float = 1


class RankCounts(NamedTuple):
    """How often one rank's requests chose each expert since it started."""

    epoch: int
    step: int
    counts: tuple[int, ...]


class Prepare(NamedTuple):
    """Fetch the experts that a map newly brings to the rank."""

    rank: int
    epoch: int
    version: int
    layers: tuple[LayerMap, ...]


class Arm(NamedTuple):
    """Switch to a prepared map as a pass begins."""

    rank: int
    epoch: int
    version: int
    step: int


class Hold(NamedTuple):
    """Don't begin a pass before ``Go``."""

    rank: int
    epoch: int
    step: int


class Go(NamedTuple):
    """Begin a pass that was held."""

    rank: int
    epoch: int
    step: int


RankOrder = Prepare | Arm | Hold | Go


class Reply(Enum):
    """What an engine answered to an order."""

    ACCEPTED = 'accepted'
    #: It doesn't fit the engine's state, and won't be carried out.
    REFUSED = 'refused'
    #: Not answered: it may be carried out now, later or never.
    LOST = 'lost'
