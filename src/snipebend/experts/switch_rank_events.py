"""Events and actions of the rank's guard; times are in seconds."""

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
    """An order of a coordinator has arrived."""

    order: RankOrder


class WeightsFetched(NamedTuple):
    """The weights of a map are in the rank's memory."""

    digest: str


class BarrierEntryReceived(NamedTuple):
    """Another rank's entry has arrived."""

    entry: BarrierEntry


class EntryRefused(NamedTuple):
    """Another rank is in a newer incarnation than our entry."""

    incarnation: int


class StepFinished(NamedTuple):
    """The engine has finished the step that it was told to run."""

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


class AskDecision(NamedTuple):
    """Ask control for the group's committed record, over and over."""


class FetchWeights(NamedTuple):
    """Fetch a map's weights, no earlier than ``not_before``."""

    digest: str
    size: int
    not_before: float


class EnterBarrier(NamedTuple):
    """Tell another rank of an entry."""

    peer: str
    entry: BarrierEntry


class RefuseEntry(NamedTuple):
    """Tell another rank that its entry is of an old incarnation."""

    peer: str
    incarnation: int


class RunStep(NamedTuple):
    """Let the engine run a step under the map of the stamp."""

    step: int
    stamp: MapStamp


class StepStopped(NamedTuple):
    """Entries of one step carry different stamps: the step must not run."""

    step: int
    stamps: tuple[MapStamp, ...]


RankAction = (
    SendReport
    | AskDecision
    | FetchWeights
    | EnterBarrier
    | RefuseEntry
    | RunStep
    | StepStopped
)
