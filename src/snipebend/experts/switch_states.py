"""The states of a switch coordinator; times are in seconds."""

from __future__ import annotations

from typing import NamedTuple

from snipebend.experts.switch_events import MapProposed
from snipebend.experts.switch_messages import (
    MapStamp,
    RecordChange,
    SwitchDecision,
)


class CoordinatorConfig(NamedTuple):
    """Group size and time limits of a coordinator.

    ``group`` has ``ranks`` ranks; its first incarnation starts once all of them
    are alive. Orders are resent every ``resend_s``; a switch that is not
    prepared within ``prepare_s`` is aborted.
    """

    group: str
    ranks: int
    resend_s: float = 0.5
    prepare_s: float = 60.0


class Idle(NamedTuple):
    """No switch is running; ranks are queried for their reports."""


class Preparing(NamedTuple):
    """Waiting for the promise of every member to the proposed map."""

    proposal: MapProposed
    decision: SwitchDecision
    base: MapStamp
    life_by_rank: dict[str, int]
    fetch_at: dict[str, float]
    deadline_at: float


class Persisting(NamedTuple):
    """Waiting for the commit of a change."""

    change: RecordChange
    stamp: MapStamp


class Activating(NamedTuple):
    """Sending the committed decision to every member."""

    decision: SwitchDecision


class Stopped(NamedTuple):
    """Another coordinator holds the fence."""


CoordinatorState = Idle | Preparing | Persisting | Activating | Stopped
