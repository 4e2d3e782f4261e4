"""Settings of the core and what it is restored from."""

from __future__ import annotations

from typing import NamedTuple

from snipebend.consensus.records import (
    HardState,
    LogEntry,
    Members,
    SnapshotMeta,
)

MEBIBYTE = 1_048_576


class CoreConfig(NamedTuple):
    """Timing and limits; the same on each member of a group.

    ``clock_drift`` bounds how much faster or slower than true time a member's
    clock may run, as a fraction. ``max_batch`` counts entries a message,
    ``max_batch_bytes`` their payload, ``max_in_flight`` the messages to one
    follower without an answer, ``max_uncommitted`` the entries that a leader
    takes on before it calls itself busy. A snapshot that brought no answer
    within ``snapshot_retry_s`` is sent again.
    """

    heartbeat_s: float = 0.25
    election_timeout_s: float = 1
    clock_drift: float = 0.05
    max_batch: int = 64
    max_batch_bytes: int = MEBIBYTE
    max_in_flight: int = 8
    max_uncommitted: int = 4096
    snapshot_retry_s: float = 5


class Restored(NamedTuple):
    """What the disk held at the start.

    ``members`` are those of the snapshot, or without a snapshot those that the
    group was founded with; a process that waits to be added gives none.
    ``entries`` follow the snapshot; those that it covers are passed over.
    """

    hard_state: HardState = HardState()
    snapshot: SnapshotMeta | None = None
    entries: tuple[LogEntry, ...] = ()
    members: Members = Members()
