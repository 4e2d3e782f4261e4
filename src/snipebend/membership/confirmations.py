"""Which process has which configuration in force, as far as is known (pure)."""

from __future__ import annotations

from typing import NamedTuple

#: Leases after which a process that says nothing is forgotten altogether.
_FORGET_LEASES = 12


class Confirmation(NamedTuple):
    """A process's latest word, and until when it counts."""

    revision: int
    fresh_until: float
    forget_at: float


class Confirmations:
    """The latest word of each process.

    A process counts while it may trust its configuration without a new word;
    after that it refuses new work or is known to serve on an old one.
    """

    def __init__(self, now: float, lease_s: float) -> None:
        """Begin with none; they are complete one lease later."""
        self._complete_at = now + lease_s
        self._latest: dict[str, Confirmation] = {}

    def note(
        self, process: str, revision: int, now: float, lease_s: float
    ) -> None:
        """Keep a word; the revision of a process only grows."""
        known = self._latest.get(process)
        newest = max(revision, known.revision) if known else revision
        self._latest[process] = Confirmation(
            newest, now + lease_s, now + _FORGET_LEASES * lease_s
        )

    def fresh(self, now: float) -> dict[str, int]:
        """Return the revisions of the processes that count."""
        return {
            process: known.revision
            for process, known in self._latest.items()
            if known.fresh_until > now
        }

    def lapsed(self, now: float) -> tuple[str, ...]:
        """Return the processes that fell silent lately; forget the others."""
        gone = [
            process
            for process, known in self._latest.items()
            if known.forget_at <= now
        ]
        for process in gone:
            self._latest.pop(process)
        silent = self._latest.keys() - self.fresh(now).keys()
        return tuple(sorted(silent))

    def complete(self, now: float) -> bool:
        """Tell whether all processes with a fresh lease have been heard."""
        return now >= self._complete_at
