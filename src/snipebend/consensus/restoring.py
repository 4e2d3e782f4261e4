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
    differs from it, none of it counts, and its file must be reset. Entries that
    start later are given as they are, for the caller to see the gap.
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
