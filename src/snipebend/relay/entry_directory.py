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
        self._listed_at: dict[str, float] = {}

    def record(self, entries: Collection[str], now: float) -> None:
        """Record the entries that are listed now, in monotonic seconds."""
        expired_at = now - MEMBER_RETENTION_S
        self._listed_at = {
            entry: listed_at
            for entry, listed_at in self._listed_at.items()
            if listed_at > expired_at
        }
        self._listed_at.update(dict.fromkeys(entries, now))

    def __len__(self) -> int:
        """Return the number of members."""
        return len(self._listed_at)
