"""Selects the stored log entries that are valid after a stored snapshot."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from snipebend.consensus.records import LogEntry, SnapshotMeta


def usable_entries(
    snapshot: SnapshotMeta | None, entries: Sequence[LogEntry]
) -> tuple[LogEntry, ...]:
    """Return the entries that follow the snapshot.

    A crash between syncing an installed snapshot and resetting the log leaves
    an older log on disk. If that log ends before the snapshot or conflicts with
    it, none of its entries are valid, and its file must be reset. Entries that
    start after a gap are returned as they are: the caller detects the gap.
    """
    if snapshot is None or not entries:
        return tuple(entries)
    covered = snapshot.index - entries[0].index
    if covered < 0:
        return tuple(entries)
    if covered >= len(entries):
        return ()
    if entries[covered].term != snapshot.term:
        return ()
    return tuple(entries[covered + 1 :])
