"""Executes committed entries and says when to take a snapshot."""

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

#: Entries, and their bytes, that stay in the log behind a snapshot.
KEEP_ENTRIES = 256
KEEP_BYTES = 8_388_608

#: Bytes of entries after which a snapshot is taken, whatever their number.
SNAPSHOT_BYTES = 33_554_432


class Applier:
    """The state machine and how far in the log it is."""

    def __init__(
        self, payload: bytes | None, index: int, snapshot_every: int
    ) -> None:
        """Restore the machine from a snapshot at ``index``, or begin empty."""
        self.machine = Machine.decode(payload) if payload else Machine()
        self.index = index
        self._snapshot_every = snapshot_every
        self._snapshot_index = index
        self._bytes_since = 0
        self._sizes: deque[int] = deque(maxlen=KEEP_ENTRIES)

    @property
    def revision(self) -> int:
        """Return the configuration's revision."""
        return self.machine.state.configuration.revision

    @property
    def news(self) -> tuple[int, int, int]:
        """Return the revisions of all that watchers are told of."""
        state = self.machine.state
        return (
            state.configuration.revision,
            state.documents.number,
            state.roster.revision,
        )

    def apply(self, entry: LogEntry) -> Reply | None:
        """Execute an entry; only commands have replies.

        Raises:
            CorruptionError: when the entry can't be read, by a newer version's
                command for instance: going on would let the members differ.
        """
        self.index = entry.index
        self._bytes_since += len(entry.payload)
        self._sizes.append(len(entry.payload))
        if entry.kind is not EntryKind.COMMAND:
            return None
        try:
            command = decode_command(entry.payload)
        except msgspec.DecodeError as exc:
            raise CorruptionError(
                f'entry {entry.index} holds no known command',
                step='apply',
            ) from exc
        return self.machine.execute(command)

    def snapshot_due(self) -> bool:
        """Tell whether the log has grown enough; then count anew."""
        grown = self.index - self._snapshot_index
        if grown < self._snapshot_every and self._bytes_since < SNAPSHOT_BYTES:
            return False
        self._snapshot_index = self.index
        self._bytes_since = 0
        return True

    def keep_index(self) -> int:
        """Return up to where the log may go once a snapshot is synced.

        Some entries stay, so that a follower that lags a little needs no
        snapshot.
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
        """Go on from a leader's snapshot."""
        self.machine = Machine.decode(snapshot.payload)
        self.index = snapshot.meta.index
        self._snapshot_index = self.index
        self._bytes_since = 0
        self._sizes.clear()
