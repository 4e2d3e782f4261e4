"""Snapshot files in the data folder, which are replaced atomically."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from snipebend.consensus.data_folder import read_record, write_record
from snipebend.consensus.records import SnapshotMeta

if TYPE_CHECKING:
    from pathlib import Path

_PATTERN = 'snapshot-*.bin'


class Snapshot(msgspec.Struct, frozen=True, tag=True):
    """The encoded state of the state machine after ``meta.index``."""

    meta: SnapshotMeta
    payload: bytes


class SnapshotStore:
    """Loads and saves the newest snapshot of a data folder."""

    def __init__(self, folder: Path) -> None:
        """Use the given data folder."""
        self._folder = folder

    def load(self) -> Snapshot | None:
        """Return the newest snapshot; ``None`` if there is none.

        Raises:
            CorruptionError: if it is damaged.
        """
        paths = self._paths()
        return read_record(paths[-1], Snapshot) if paths else None

    def save(self, snapshot: Snapshot) -> None:
        """Write and sync a snapshot, then delete older ones."""
        path = self._folder / f'snapshot-{snapshot.meta.index:020}.bin'
        write_record(path, snapshot)
        for older in self._paths():
            if older < path:
                older.unlink()

    def _paths(self) -> list[Path]:
        return sorted(self._folder.glob(_PATTERN))
