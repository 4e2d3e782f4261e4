"""The data folder of one member: identity, log and snapshot."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from snipebend.consensus.config import RestoredState
from snipebend.consensus.data_folder import (
    open_identity,
    read_founding_members,
    write_founding_members,
)
from snipebend.consensus.log_file import LogFile, LogWrite
from snipebend.consensus.snapshot_file import Snapshot, SnapshotStore
from snipebend.errors.hierarchy import CorruptionError

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from snipebend.consensus.actions import Persist
    from snipebend.consensus.records import LogEntry, Members, SnapshotMeta


class StoredState(NamedTuple):
    """The contents of a data folder at the time it was opened."""

    member_id: str
    restored: RestoredState
    payload: bytes | None


class Storage:
    """Reads the data folder once, then writes to it; not thread-safe.

    Each method returns after everything is synced. After an ``OSError`` the
    call must be repeated, as ``transport/storage_writer.py`` does with its
    jobs: ``persist`` has stored none of the entries, but may have stored the
    hard state, and the methods that save a snapshot may have saved it without
    all changes of the log.
    """

    def __init__(self, folder: Path) -> None:
        """Use the given data folder."""
        self._folder = folder
        self._log = LogFile(folder)
        self._snapshots = SnapshotStore(folder)

    def open(self, new_id: str) -> StoredState:
        """Read the folder; an empty one is given the identity ``new_id``.

        Raises:
            CorruptionError: if anything but a torn last write is damaged.
        """
        identity = open_identity(self._folder, new_id)
        founding = read_founding_members(self._folder)
        snapshot = self._snapshots.load()
        if (founding.voters or snapshot) and not self._log.exists():
            raise CorruptionError(
                f'{self._folder}: founding members or a snapshot exist, '
                + 'but the log is missing',
                step='read data folder',
            )
        content = self._log.load()
        meta = snapshot.meta if snapshot else None
        restored = RestoredState(
            content.hard_state,
            meta,
            self._entries_after(meta, content.entries),
            meta.members if meta else founding,
        )
        payload = snapshot.payload if snapshot else None
        return StoredState(identity.member_id, restored, payload)

    def save_founding_members(self, members: Members) -> None:
        """Store the founding members of the group."""
        write_founding_members(self._folder, members)

    def persist(self, writes: Iterable[Persist]) -> None:
        """Write several changes of the log with a single sync."""
        self._log.append(merge_writes(writes))

    def save_snapshot(self, snapshot: Snapshot, keep_from: int) -> None:
        """Save a snapshot; delete log segments that end before an index."""
        self._snapshots.save(snapshot)
        self._log.drop_until(keep_from - 1)

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace log and snapshot with a snapshot sent by the leader."""
        self._snapshots.save(snapshot)
        self._log.restart()

    def load_snapshot(self) -> Snapshot | None:
        """Return the newest snapshot, to send it to a follower."""
        return self._snapshots.load()

    def _entries_after(
        self,
        meta: SnapshotMeta | None,
        entries: tuple[LogEntry, ...],
    ) -> tuple[LogEntry, ...]:
        """Return the entries after the snapshot.

        A crash between the two steps of ``install_snapshot`` leaves a log that
        the snapshot has replaced: the log ends before the snapshot, or has
        another term at the snapshot's index. Such a log is reset.
        """
        covered = meta.index if meta else 0
        if entries and entries[0].index > covered + 1:
            raise CorruptionError(
                f'{self._folder}: the log starts at index {entries[0].index}, '
                + f'but no snapshot covers the entries after {covered}',
                step='read data folder',
            )
        if meta and _is_replaced(meta, entries):
            self._log.restart()
            return ()
        return tuple(entry for entry in entries if entry.index > covered)


def merge_writes(writes: Iterable[Persist]) -> LogWrite:
    """Return one write with the same effect as several in sequence."""
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
