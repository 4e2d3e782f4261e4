"""The in-memory log: the entries after the compacted prefix."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from snipebend.consensus.records import LogEntry


class ReplicatedLog:
    """Entries from ``base_index + 1`` on; the base is the last one dropped."""

    def __init__(
        self,
        base_index: int = 0,
        base_term: int = 0,
        entries: Iterable[LogEntry] = (),
    ) -> None:
        """Create a log; the first of the entries must follow the base."""
        self.base_index = base_index
        self._base_term = base_term
        self._entries = list(entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the base."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the base."""
        return self._entries[-1].term if self._entries else self._base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry; ``None`` if it is not in the log."""
        if index == self.base_index:
            return self._base_term
        offset = index - self.base_index - 1
        if 0 <= offset < len(self._entries):
            return self._entries[offset].term
        return None

    def between(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Return the entries from ``first`` to ``last``, both included."""
        start = first - self.base_index - 1
        return tuple(self._entries[start : last - self.base_index])

    def batch(
        self, first: int, max_entries: int, max_bytes: int
    ) -> tuple[LogEntry, ...]:
        """Return entries from ``first`` on, within both limits.

        The first one is returned even if it exceeds ``max_bytes``.
        """
        found = self.between(first, first + max_entries - 1)
        size = 0
        for count, entry in enumerate(found):
            size += len(entry.payload)
            if size > max_bytes and count:
                return found[:count]
        return found

    def append(self, entries: Iterable[LogEntry]) -> None:
        """Append entries that follow the last one."""
        self._entries.extend(entries)

    def truncate_from(self, index: int) -> None:
        """Drop the entries from ``index`` on."""
        del self._entries[index - self.base_index - 1 :]  # noqa: WPS420

    def drop_until(self, index: int, term: int) -> None:
        """Drop the entries up to ``index``, which becomes the base."""
        self._entries = self._entries[index - self.base_index :]
        self.base_index = index
        self._base_term = term

    def last_index_within_term(self, index: int, term: int) -> int:
        """Return the last index up to ``index`` with at most the given term.

        Terms never decrease along a log. If the other log has ``term`` at
        ``index``, the logs cannot match at entries with a higher term, so that
        leader and follower skip whole terms in one step.
        """
        probe = min(index, self.last_index)
        while probe > self.base_index:
            probe_term = self.term_at(probe)
            if probe_term is not None and probe_term <= term:
                break
            probe -= 1
        return probe
