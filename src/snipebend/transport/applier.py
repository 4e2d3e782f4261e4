"""Applies committed log entries to the state machine of a replica."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec

from snipebend.consensus.records import EntryKind
from snipebend.errors.hierarchy import CorruptionError
from snipebend.state.commands import decode_command
from snipebend.state.machine import Machine

if TYPE_CHECKING:
    from snipebend.consensus.records import LogEntry
    from snipebend.consensus.snapshot_file import Snapshot
    from snipebend.state.commands import Reply

#: Upper bounds on the entries before a snapshot that stay in the log, by
#: number and by total size in bytes.
KEEP_ENTRIES = 256
KEEP_BYTES = 8_388_608

#: Size in bytes of the entries since the last snapshot that makes the next one
#: due, regardless of their number.
SNAPSHOT_BYTES = 33_554_432


class Applier:
    """The state machine, and the index of the last entry applied to it."""

    def __init__(
        self, payload: bytes | None, index: int, snapshot_every: int
    ) -> None:
        """Restore the machine from a snapshot at ``index``, or start empty.

        ``snapshot_every`` is the number of entries between two snapshots.
        """
        self.machine = Machine.decode(payload) if payload else Machine()
        self.index = index
        self._snapshot_every = snapshot_every
        self._snapshot_index = index
        self._bytes_since_snapshot = 0
        self._sizes: deque[int] = deque(maxlen=KEEP_ENTRIES)

    @property
    def revision(self) -> int:
        """Return the revision of the configuration."""
        return self.machine.state.configuration.revision

    @property
    def watched_revisions(self) -> tuple[int, ...]:
        """Return the revisions of all parts of the state that have watchers."""
        state = self.machine.state
        return (
            state.configuration.revision,
            state.documents.number,
            state.roster.revision,
            state.evacuations.revision,
        )

    def apply(self, entry: LogEntry) -> Reply | None:
        """Apply an entry; return the reply if it is a command.

        Raises:
            CorruptionError: when the entry can't be decoded, for instance
                because it holds a command of a newer version. Skipping it would
                make the members' states diverge.
        """
        self.index = entry.index
        self._bytes_since_snapshot += len(entry.payload)
        self._sizes.append(len(entry.payload))
        if entry.kind is not EntryKind.COMMAND:
            return None
        try:
            command = decode_command(entry.payload)
        except msgspec.DecodeError as exc:
            raise CorruptionError(
                f'log entry {entry.index} holds no known command',
                step='apply',
            ) from exc
        return self.machine.execute(command)

    def check_snapshot_due(self) -> bool:
        """Return whether a snapshot is due; if so, restart the counts."""
        grown = self.index - self._snapshot_index
        if (
            grown < self._snapshot_every
            and self._bytes_since_snapshot < SNAPSHOT_BYTES
        ):
            return False
        self._snapshot_index = self.index
        self._bytes_since_snapshot = 0
        return True

    def truncation_index(self) -> int:
        """Return the last index to drop from the log after a snapshot.

        Some entries before the snapshot stay in the log, so that a follower
        that lags a little doesn't need the snapshot.
        """
        kept = 0
        size = 0
        for entry_size in reversed(self._sizes):
            size += entry_size
            if size > KEEP_BYTES:
                break
            kept += 1
        return self.index - kept

    def replace(self, snapshot: Snapshot) -> None:
        """Replace the state by a snapshot from the leader."""
        self.machine = Machine.decode(snapshot.payload)
        self.index = snapshot.meta.index
        self._snapshot_index = self.index
        self._bytes_since_snapshot = 0
        self._sizes.clear()
