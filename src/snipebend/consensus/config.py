"""Settings of the Raft core and the state from which it is restored."""

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
    """Timing and limits; they must be the same on all members of a group.

    ``clock_drift`` is the largest relative difference between the rate of a
    member's clock and true time. ``max_batch`` and ``max_batch_bytes`` limit
    the number of entries in one message and the size of their payloads.
    ``max_in_flight`` limits the unacknowledged messages to one follower.
    ``max_uncommitted`` limits the uncommitted entries on a leader; it rejects
    further proposals as busy. A snapshot that is not acknowledged within
    ``snapshot_retry_s`` is sent again.
    """

    heartbeat_s: float = 0.25
    election_timeout_s: float = 1
    clock_drift: float = 0.05
    max_batch: int = 64
    max_batch_bytes: int = MEBIBYTE
    max_in_flight: int = 8
    max_uncommitted: int = 4096
    snapshot_retry_s: float = 5


class RestoredState(NamedTuple):
    """The state read from disk at startup.

    ``members`` are those of the snapshot or, without a snapshot, the founding
    members of the group; empty for a process that waits to be added to a
    group. ``entries`` follow the snapshot; entries that it covers are skipped.
    """

    hard_state: HardState = HardState()
    snapshot: SnapshotMeta | None = None
    entries: tuple[LogEntry, ...] = ()
    members: Members = Members()
