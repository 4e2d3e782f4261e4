"""One member's data folder as a whole: identity, log and snapshot."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from snipebend.consensus.config import Restored
from snipebend.consensus.data_folder import (
    open_identity,
    read_founding,
    write_founding,
)
from snipebend.consensus.log_file import LogFile, LogWrite
from snipebend.consensus.snapshot_file import Snapshot, SnapshotStore
from snipebend.errors.hierarchy import CorruptionError

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from snipebend.consensus.actions import Persist
    from snipebend.consensus.records import LogEntry, Members, SnapshotMeta


class Opened(NamedTuple):
    """What a data folder held when it was opened."""

    member_id: str
    restored: Restored
    payload: bytes | None


class Storage:
    """Reads the folder once, then writes it; one thread at a time.

    Each method returns once everything is synced. An ``OSError`` means that
    the write didn't happen and may be tried again.
    """

    def __init__(self, folder: Path) -> None:
        """Keep the folder."""
        self._folder = folder
        self._log = LogFile(folder)
        self._snapshots = SnapshotStore(folder)

    def open(self, fresh_id: str) -> Opened:
        """Read the folder; an empty one gets the fresh identity.

        Raises:
            CorruptionError: when anything but a torn last write is damaged.
        """
        identity = open_identity(self._folder, fresh_id)
        founding = read_founding(self._folder)
        snapshot = self._snapshots.load()
        if (founding.voters or snapshot) and not self._log.exists():
            raise CorruptionError(
                f'{self._folder}: the log is missing',
                step='read data folder',
            )
        content = self._log.load()
        meta = snapshot.meta if snapshot else None
        restored = Restored(
            content.hard_state,
            meta,
            self._follow(meta, content.entries),
            meta.members if meta else founding,
        )
        payload = snapshot.payload if snapshot else None
        return Opened(identity.member_id, restored, payload)

    def found(self, members: Members) -> None:
        """Keep the members that the group was founded with."""
        write_founding(self._folder, members)

    def persist(self, writes: Iterable[Persist]) -> None:
        """Write several changes of the log in one sync."""
        self._log.append(combine(writes))

    def save_snapshot(self, snapshot: Snapshot, keep_from: int) -> None:
        """Write a snapshot; keep the log from an index on, or a bit more."""
        self._snapshots.save(snapshot)
        self._log.drop_until(keep_from - 1)

    def install(self, snapshot: Snapshot) -> None:
        """Replace log and snapshot by what a leader sent."""
        self._snapshots.save(snapshot)
        self._log.restart()

    def load_snapshot(self) -> Snapshot | None:
        """Return the newest snapshot, for a follower that needs it."""
        return self._snapshots.load()

    def _follow(
        self,
        meta: SnapshotMeta | None,
        entries: tuple[LogEntry, ...],
    ) -> tuple[LogEntry, ...]:
        """Return the entries after the snapshot.

        A crash between the two steps of ``install`` leaves a log that the
        snapshot has replaced: it ends before the snapshot or has another term
        at its index.
        """
        covered = meta.index if meta else 0
        if entries and entries[0].index > covered + 1:
            raise CorruptionError(
                f'{self._folder}: the log begins at {entries[0].index}, '
                + f'but no snapshot goes beyond {covered}',
                step='read data folder',
            )
        if meta and _is_replaced(meta, entries):
            self._log.restart()
            return ()
        return tuple(entry for entry in entries if entry.index > covered)


def combine(writes: Iterable[Persist]) -> LogWrite:
    """Return one write that leaves the same log as several in a row."""
    hard_state = None
    truncate_from: int | None = None
    entries: list[LogEntry] = []
    for write in writes:
        hard_state = write.hard_state or hard_state
        cut = write.truncate_from
        if cut is not None:
            entries = [entry for entry in entries if entry.index < cut]
            truncate_from = min(cut, truncate_from or cut)
        entries.extend(write.entries)
    return LogWrite(hard_state, truncate_from, tuple(entries))


def _is_replaced(meta: SnapshotMeta, entries: tuple[LogEntry, ...]) -> bool:
    if not entries or entries[0].index > meta.index:
        return False
    if entries[-1].index < meta.index:
        return True
    return entries[meta.index - entries[0].index].term != meta.term
