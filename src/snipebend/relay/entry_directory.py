"""The other entries, as listed by the control daemons they watch.

Performs no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

#: Seconds for which an entry that is no longer listed counts as a member of the
#: fleet: partitions between regions last for minutes.
MEMBER_RETENTION_S = 600.0


class EntryDirectory:
    """Gossip addresses of entries and their data centres.

    An entry that any daemon lists counts as present: a daemon may be cut off
    from entries that are connected to other daemons.
    """

    def __init__(self) -> None:
        """Create an empty directory."""
        self._by_daemon: dict[str, dict[str, str]] = {}

    def update(
        self, daemon: str, entries: Sequence[str], data_centers: Sequence[str]
    ) -> None:
        """Replace a daemon's list; earlier versions send no data centres."""
        data_center_by_entry = dict.fromkeys(entries, '')
        data_center_by_entry.update(zip(entries, data_centers, strict=False))
        self._by_daemon[daemon] = data_center_by_entry

    def remove_daemon(self, daemon: str) -> None:
        """Remove the list of a daemon that is unreachable."""
        self._by_daemon.pop(daemon, None)

    def merge_data_centers(self) -> dict[str, str]:
        """Return the data centre of each entry; empty if unknown."""
        data_centers: dict[str, str] = {}
        for data_center_by_entry in self._by_daemon.values():
            for entry, data_center in data_center_by_entry.items():
                data_centers[entry] = data_center or data_centers.get(entry, '')
        return data_centers


class FleetMembers:
    """Entries that were listed lately, even if they are cut off now.

    Entries divide the fleet's limits among each other. An entry that counted
    only those it can reach would take too much during a partition.
    """

    def __init__(self) -> None:
        """Create a fleet without members."""
        self._listed: frozenset[str] = frozenset()
        #: When entries that are no longer listed were listed last.
        self._unlisted_at: dict[str, float] = {}

    def record(self, entries: Collection[str], now: float) -> None:
        """Record a new list of entries, in force from this monotonic time."""
        listed = frozenset(entries)
        self._unlisted_at.update(dict.fromkeys(self._listed - listed, now))
        for entry in listed:
            self._unlisted_at.pop(entry, None)
        self._listed = listed

    def count(self, now: float) -> int:
        """Return the number of members."""
        self._remove_expired(now)
        return len(self._listed) + len(self._unlisted_at)

    def list_names(self, now: float) -> frozenset[str]:
        """Return the names of the members."""
        self._remove_expired(now)
        return self._listed.union(self._unlisted_at)

    def _remove_expired(self, now: float) -> None:
        expired = [
            entry
            for entry, unlisted_at in self._unlisted_at.items()
            if now >= unlisted_at + MEMBER_RETENTION_S
        ]
        for entry in expired:
            self._unlisted_at.pop(entry)
