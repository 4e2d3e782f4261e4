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
    """Spans of a coordinator.

    ``group`` has ``ranks`` ranks; its first incarnation waits for all of
    them. Orders are sent again every ``resend_s``; a switch that is not
    prepared within ``prepare_s`` is aborted.
    """

    group: str
    ranks: int
    resend_s: float = 0.5
    prepare_s: float = 60.0


class Idle(NamedTuple):
    """No switch; ranks are asked for their reports."""


class Preparing(NamedTuple):
    """Waiting for every member's promise to what was proposed."""

    proposal: MapProposed
    decision: SwitchDecision
    base: MapStamp
    lives: dict[str, int]
    fetch_at: dict[str, float]
    deadline_at: float


class Persisting(NamedTuple):
    """Waiting until a change is durable."""

    change: RecordChange
    stamp: MapStamp


class Activating(NamedTuple):
    """Telling every member of the committed decision."""

    decision: SwitchDecision


class Stopped(NamedTuple):
    """Another coordinator holds the fence."""


CoordinatorState = Idle | Preparing | Persisting | Activating | Stopped
