"""Keeps the suspects of upstreams' ends, in bounded memory.

Performs no I/O.
"""

from __future__ import annotations

import math
from itertools import chain, islice
from typing import TYPE_CHECKING

from snipebend.relay.crash_suspect import CrashSuspect

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from snipebend.relay.crash_report import CrashReport

#: Seconds for which a suspect that is not quarantined is counted after the last
#: end: several attempts of its caller.
SUSPECT_RETENTION_S = 60.0

#: Most suspects that are kept. Beyond that, one with the fewest ends is
#: dropped, and one that is quarantined only if all are.
MAX_SUSPECTS = 2048

#: Most suspects in a report, which has to fit into a few datagrams.
MAX_REPORTED = 16

#: Of these, quarantined ones that are repeated before the others.
MAX_REPEATED_QUARANTINES = 12

#: Prompt parts of which it is kept when they were served; the one served
#: longest ago is dropped first.
MAX_SERVED = 4096

#: Seconds between two removals of expired suspects.
EXPIRY_INTERVAL_S = 1.0


class CrashStore:
    """The suspects by key, and which of them other entries don't know yet."""

    def __init__(self, crash_limit: int, quarantine_s: float) -> None:
        """Create an empty store.

        Suspects with ``crash_limit`` ends that are not cleared are kept for
        ``quarantine_s`` seconds after the last one.
        """
        self.suspects: dict[str, CrashSuspect] = {}
        self._crash_limit = crash_limit
        self._quarantine_s = quarantine_s
        self._expires_next_at = -math.inf
        #: Suspects that have changed since they were reported, in order.
        self._changed: dict[str, None] = {}
        #: When each part was last served, the one served longest ago first.
        self._served_at: dict[str, float] = {}

    @property
    def has_news(self) -> bool:
        """Return whether suspects have changed that were not reported."""
        return bool(self._changed)

    def find_or_add(self, key: str) -> CrashSuspect:
        """Return a suspect; one that is added knows when it was served."""
        suspect = self.suspects.get(key)
        if suspect is None:
            suspect = CrashSuspect()
            self.suspects[key] = suspect
            served_at = self._served_at.get(key)
            if served_at is not None:
                suspect.record_survival(served_at)
                self._changed[key] = None
        return suspect

    def find(self, keys: Iterable[str]) -> dict[str, CrashSuspect]:
        """Return the known ones of these suspects."""
        known = self.suspects
        return {key: known[key] for key in keys if key in known}

    def record_served(self, part_keys: Iterable[str], served_at: float) -> None:
        """Record that a request with these parts was served."""
        for key in part_keys:
            self._served_at.pop(key, None)
            self._served_at[key] = served_at
        while len(self._served_at) > MAX_SERVED:
            self._served_at.pop(next(iter(self._served_at)))

    def mark_changed(self, keys: Iterable[str]) -> None:
        """Record that these suspects must be reported."""
        self._changed.update(dict.fromkeys(keys))

    def make_report(
        self, quarantined: Container[str], now: float
    ) -> dict[str, CrashReport]:
        """Return a report for other entries.

        It holds the suspects that have changed, then the quarantined ones and
        the others, those that have not been reported for longest first: each
        of them is repeated, and an entry that has started soon knows all.
        """
        unchanged = [key for key in self.suspects if key not in self._changed]
        first = [key for key in unchanged if key in quarantined]
        ranked = chain(
            self._changed,
            first[:MAX_REPEATED_QUARANTINES],
            (key for key in unchanged if key not in quarantined),
            first[MAX_REPEATED_QUARANTINES:],
        )
        report: dict[str, CrashReport] = {}
        for key in list(islice(ranked, MAX_REPORTED)):
            self._changed.pop(key, None)
            # Moves it behind those that wait for longer.
            suspect = self.suspects.pop(key)
            self.suspects[key] = suspect
            report[key] = suspect.make_report(now)
        return report

    def expires_at(self, suspect: CrashSuspect) -> float:
        """Return until when a suspect is kept."""
        if len(suspect.ends) >= self._crash_limit and not suspect.is_cleared:
            return suspect.last_ended_at + self._quarantine_s
        return suspect.last_ended_at + SUSPECT_RETENTION_S

    def remove(self, keys: Iterable[str]) -> None:
        """Remove suspects."""
        for key in keys:
            self.suspects.pop(key)
            self._changed.pop(key, None)

    def remove_expired(self, now: float) -> None:
        """Remove the expired suspects, once in a while."""
        if now < self._expires_next_at:
            return
        self._expires_next_at = now + EXPIRY_INTERVAL_S
        self.remove(
            [
                key
                for key, suspect in self.suspects.items()
                if now >= self.expires_at(suspect)
            ]
        )

    def drop_surplus(self, quarantined: Container[str]) -> None:
        """Remove the least important suspects beyond the bound."""
        surplus = len(self.suspects) - MAX_SUSPECTS
        if surplus <= 0:
            return

        def importance(key: str) -> tuple[bool, bool, int, float]:
            suspect = self.suspects[key]
            return (
                key in quarantined,
                not suspect.is_cleared,
                len(suspect.ends),
                suspect.last_ended_at,
            )

        ranked = sorted(self.suspects, key=importance)
        self.remove(ranked[:surplus])
