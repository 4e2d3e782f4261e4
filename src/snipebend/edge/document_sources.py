"""Selects the control daemon for the next part of a document.

Performs no I/O.
"""

from __future__ import annotations

from snipebend.hashing.rendezvous import weigh

#: Seconds for which a daemon that failed is asked only after the others.
FAILURE_PAUSE_S = 2.0


class DocumentSources:
    """The documents announced by control daemons."""

    def __init__(self, process: str) -> None:
        """Distribute processes over daemons by hashing the process name."""
        #: The daemon that was asked last.
        self.current = ''
        self._process = process
        self._numbers: dict[str, int] = {}
        self._paused_until: dict[str, float] = {}

    @property
    def newest(self) -> int:
        """Return the highest announced number."""
        return max(self._numbers.values(), default=0)

    def record_document(self, address: str, number: int) -> None:
        """Record the number of a daemon's document."""
        self._numbers[address] = number

    def remove_daemon(self, address: str) -> None:
        """Remove a daemon until it announces a document again."""
        self._numbers.pop(address, None)

    def record_failure(self, address: str, now: float) -> None:
        """Record that a daemon did not respond in time."""
        self._paused_until[address] = now + FAILURE_PAUSE_S

    def select(self, newer_than: int, now: float) -> str:
        """Return the daemon to ask; at least one has a newer document.

        The daemon that was asked last is preferred while it responds, so that
        the parts of one document come from one daemon.
        """
        candidates = [
            address
            for address, number in self._numbers.items()
            if number > newer_than
        ]
        self.current = min(
            candidates, key=lambda address: self._sort_key(address, now)
        )
        return self.current

    def _sort_key(self, address: str, now: float) -> tuple[float, bool, int]:
        paused_until = self._paused_until.get(address, now)
        return (
            max(now, paused_until),
            address != self.current,
            weigh(address, self._process),
        )
