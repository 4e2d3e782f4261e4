"""Events and actions of the rank guard; times are in seconds."""

from __future__ import annotations

from typing import NamedTuple

from snipebend.experts.switch_events import Tick
from snipebend.experts.switch_messages import (
    BarrierEntry,
    MapStamp,
    RankOrder,
    RankReport,
)


class OrderReceived(NamedTuple):
    """An order of a coordinator was received."""

    order: RankOrder


class WeightsFetched(NamedTuple):
    """The weights of a map were fetched into the rank's memory."""

    digest: str


class BarrierEntryReceived(NamedTuple):
    """The barrier entry of another rank was received."""

    entry: BarrierEntry


class EntryRefused(NamedTuple):
    """A peer in a newer incarnation refused this rank's barrier entry."""

    incarnation: int


class StepFinished(NamedTuple):
    """The engine has finished the requested step."""

    step: int


RankEvent = (
    Tick
    | OrderReceived
    | WeightsFetched
    | BarrierEntryReceived
    | EntryRefused
    | StepFinished
)


class SendReport(NamedTuple):
    """Send a report to the coordinators."""

    report: RankReport


class QueryDecision(NamedTuple):
    """Query control for the group's committed record; sent repeatedly."""


class FetchWeights(NamedTuple):
    """Fetch a map's weights, no earlier than ``not_before``."""

    digest: str
    size: int
    not_before: float


class EnterBarrier(NamedTuple):
    """Send a barrier entry to another rank."""

    peer: str
    entry: BarrierEntry


class RefuseEntry(NamedTuple):
    """Notify another rank that its entry has an old incarnation."""

    peer: str
    incarnation: int


class RunStep(NamedTuple):
    """Request the engine to run a step under the map of the stamp."""

    step: int
    stamp: MapStamp


class StepStopped(NamedTuple):
    """The step must not run, because its entries carry different stamps."""

    step: int
    stamps: tuple[MapStamp, ...]


RankAction = (
    SendReport
    | QueryDecision
    | FetchWeights
    | EnterBarrier
    | RefuseEntry
    | RunStep
    | StepStopped
)
