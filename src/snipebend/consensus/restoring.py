"""Which stored entries still count beside a stored snapshot."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from snipebend.consensus.records import LogEntry, SnapshotMeta


def usable_entries(
    snapshot: SnapshotMeta | None, entries: Sequence[LogEntry]
) -> tuple[LogEntry, ...]:
    """Give the entries that follow the snapshot.

    A crash between syncing an installed snapshot and resetting the log leaves
    an older log behind. If that one doesn't lead up to the snapshot, or
    differs from it, none of it counts, and its file must be reset.
    """
    if snapshot is None or not entries:
        return tuple(entries)
    if entries[0].index == snapshot.index + 1:
        return tuple(entries)
    covered = snapshot.index - entries[0].index
    if not 0 <= covered < len(entries):
        return ()
    if entries[covered].term != snapshot.term:
        return ()
    return tuple(entries[covered + 1 :])
