"""Messages to the task that owns the Raft core and the state machine."""

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

#: The outcome of a request: the command's reply, or an index for reads and
#: membership changes.
RequestOutcome = Result[Any, UnavailableError]


@dataclass(frozen=True, slots=True)
class CoreRequest:
    """A request to the core; its outcome is set on the future."""

    event: Proposed | MembersProposed | ReadRequested
    outcome: Future[RequestOutcome]

    @property
    def key(self) -> str:
        """Return the identifier that the core's outcome carries."""
        match self.event:
            case ReadRequested(read_id):
                return read_id
            case event:
                return event.proposal_id


@dataclass(frozen=True, slots=True)
class CoreEvent:
    """An event for the core without an outcome."""

    event: Event


@dataclass(frozen=True, slots=True)
class SnapshotSaved:
    """A snapshot of this replica is synced.

    The log can be truncated up to the index ``truncate_to``.
    """

    truncate_to: int


@dataclass(frozen=True, slots=True)
class SnapshotReplaced:
    """A snapshot from the leader has replaced the stored snapshot and log."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class StorageBlocked:
    """A write failed, for instance on a full disk, and is being retried."""

    reason: str


@dataclass(frozen=True, slots=True)
class StorageUnblocked:
    """Writes succeed again."""


@dataclass(frozen=True, slots=True)
class StorageFailed:
    """The stored files are corrupt, so the replica must stop."""

    error: CorruptionError


ReplicaMessage = (
    CoreRequest
    | CoreEvent
    | SnapshotSaved
    | SnapshotReplaced
    | StorageBlocked
    | StorageUnblocked
    | StorageFailed
)
