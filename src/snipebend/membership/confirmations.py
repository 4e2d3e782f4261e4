"""Tracks the configuration revision that each process has in force.

Performs no I/O.
"""

from __future__ import annotations

from typing import NamedTuple

#: Number of leases after which an unresponsive process is removed.
_RETENTION_LEASES = 12


class Confirmation(NamedTuple):
    """A process's latest confirmation, its expiry and its removal time."""

    revision: int
    valid_until: float
    evict_at: float


class Confirmations:
    """The latest confirmation of each process.

    A confirmation is valid while the process may use its configuration without
    renewal. After that the process refuses new requests, or its policy is to
    keep serving on an old configuration.
    """

    def __init__(self, now: float, lease_s: float) -> None:
        """Create an empty collection at the start of the control daemon.

        It is complete ``lease_s`` seconds after ``now``.
        """
        self._complete_at = now + lease_s
        self._latest: dict[str, Confirmation] = {}

    def record(
        self, process: str, revision: int, now: float, lease_s: float
    ) -> None:
        """Record a confirmation; a process's revision never decreases."""
        known = self._latest.get(process)
        newest = max(revision, known.revision) if known else revision
        self._latest[process] = Confirmation(
            newest, now + lease_s, now + _RETENTION_LEASES * lease_s
        )

    def fresh(self, now: float) -> dict[str, int]:
        """Return the revisions of processes with a valid confirmation."""
        return {
            process: known.revision
            for process, known in self._latest.items()
            if known.valid_until > now
        }

    def expired(self, now: float) -> tuple[str, ...]:
        """Return the unresponsive processes; remove those of long ago."""
        removed = [
            process
            for process, known in self._latest.items()
            if known.evict_at <= now
        ]
        for process in removed:
            self._latest.pop(process)
        unresponsive = self._latest.keys() - self.fresh(now).keys()
        return tuple(sorted(unresponsive))

    def is_complete(self, now: float) -> bool:
        """Return whether all processes with a valid lease have reported.

        That is so once one lease has passed since the start: each process has
        reported by then, or its lease has expired.
        """
        return now >= self._complete_at
