"""What other tasks tell the one that owns the core and the state machine."""

from __future__ import annotations

from asyncio import Future
from dataclasses import dataclass
from typing import Any

from result import Result

from snipebend.consensus.events import (
    Event,
    MembersProposed,
    Proposed,
    ReadRequested,
)
from snipebend.consensus.snapshot_file import Snapshot
from snipebend.errors.hierarchy import CorruptionError, UnavailableError

#: The answer to a question: a reply, or an index for reads and members.
Answer = Result[Any, UnavailableError]


@dataclass(frozen=True, slots=True)
class Ask:
    """A question to the core; the future gets the answer."""

    event: Proposed | MembersProposed | ReadRequested
    answer: Future[Answer]

    @property
    def key(self) -> str:
        """Return the name under which the core answers."""
        match self.event:
            case ReadRequested(read_id):
                return read_id
            case event:
                return event.proposal_id


@dataclass(frozen=True, slots=True)
class Tell:
    """An event that needs no answer."""

    event: Event


@dataclass(frozen=True, slots=True)
class SnapshotSaved:
    """The machine's own snapshot is synced; the log may go up to ``keep``."""

    keep: int


@dataclass(frozen=True, slots=True)
class SnapshotReplaced:
    """A leader's snapshot is synced in place of snapshot and log."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class StorageBlocked:
    """A write failed and is tried again, on a full disk for instance."""

    reason: str


@dataclass(frozen=True, slots=True)
class StorageFree:
    """Writes succeed again."""


@dataclass(frozen=True, slots=True)
class StorageFailed:
    """The files can't be trusted any more."""

    error: CorruptionError


Letter = (
    Ask
    | Tell
    | SnapshotSaved
    | SnapshotReplaced
    | StorageBlocked
    | StorageFree
    | StorageFailed
)
