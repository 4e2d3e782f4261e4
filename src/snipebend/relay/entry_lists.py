"""Other entries, by what control daemons tell of their watchers (pure)."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


class EntryLists:
    """Gossip addresses of entries and their data centres.

    An entry that any daemon tells of counts: one daemon may be cut off from
    entries that others hear.
    """

    def __init__(self) -> None:
        """Start without having heard of any."""
        self._told: dict[str, dict[str, str]] = {}

    def take(
        self, daemon: str, entries: Sequence[str], places: Sequence[str]
    ) -> None:
        """Take over a daemon's list; earlier versions tell no places."""
        known = dict.fromkeys(entries, '')
        known.update(zip(entries, places, strict=False))
        self._told[daemon] = known

    def drop(self, daemon: str) -> None:
        """Forget what a daemon told that is lost."""
        self._told.pop(daemon, None)

    def places(self) -> dict[str, str]:
        """Return the data centre of each entry; empty: not told."""
        places: dict[str, str] = {}
        for known in self._told.values():
            for entry, place in known.items():
                places[entry] = place or places.get(entry, '')
        return places
