"""Counts the upstreams that ended under each request, across all entries.

Performs no I/O.

A request that ends the upstreams that run it is sent again by its caller, to
any entry. Requests that merely ran beside it are counted once or twice and then
served. Entries report their counts to each other; a report lists the
incarnations that ended, so that two entries never count the same end twice.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

#: Seconds for which a request that is not quarantined is counted after the last
#: end: several attempts of its caller.
SUSPECT_RETENTION_S = 60.0

#: Most requests that are counted. Beyond that, the one counted longest ago is
#: dropped, and one that is quarantined only if all are.
MAX_SUSPECTS = 1024

#: Most requests in a report, which has to fit into a few datagrams.
MAX_REPORTED = 16


class CrashReport(Struct, frozen=True, array_like=True):
    """The upstreams that ended under one request."""

    incarnations: tuple[str, ...]
    #: Seconds since the last one ended.
    age_s: float


class _Suspect(NamedTuple):
    incarnations: frozenset[str]
    #: When the last one ended; monotonic seconds.
    ended_at: float


class CrashTable:
    """The suspects by fingerprint, and which of them are quarantined."""

    def __init__(self, crash_limit: int, quarantine_s: float) -> None:
        """Create an empty table.

        A request is quarantined for ``quarantine_s`` seconds once
        ``crash_limit`` upstreams have ended under it.
        """
        self._crash_limit = crash_limit
        self._quarantine_s = quarantine_s
        self._suspects: dict[str, _Suspect] = {}
        #: Increases with each end that is counted.
        self.revision = 0

    def __len__(self) -> int:
        """Return the number of suspects."""
        return len(self._suspects)

    def record(self, fingerprint: str, incarnation: str, now: float) -> bool:
        """Count an end; return whether the request is quarantined by it."""
        self._remove_expired(now)
        return self._merge(fingerprint, {incarnation}, now)

    def apply_report(
        self, reports: Mapping[str, CrashReport], now: float
    ) -> list[str]:
        """Apply another entry's report; return newly quarantined requests."""
        self._remove_expired(now)
        return [
            fingerprint
            for fingerprint, report in reports.items()
            if self._merge(fingerprint, report.incarnations, now - report.age_s)
        ]

    def make_report(self, now: float) -> dict[str, CrashReport]:
        """Return the report for other entries: the most dangerous requests."""
        self._remove_expired(now)
        ranked = sorted(
            self._suspects.items(),
            key=lambda pair: (len(pair[1].incarnations), pair[1].ended_at),
            reverse=True,
        )
        return {
            fingerprint: CrashReport(
                tuple(sorted(suspect.incarnations)), now - suspect.ended_at
            )
            for fingerprint, suspect in ranked[:MAX_REPORTED]
        }

    def crashes(self, fingerprint: str) -> int:
        """Return the number of upstreams that ended under a request."""
        suspect = self._suspects.get(fingerprint)
        return len(suspect.incarnations) if suspect else 0

    def quarantine_left_s(self, fingerprint: str, now: float) -> float:
        """Return seconds until the end of a request's quarantine, or 0."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not self._is_over_limit(suspect):
            return 0
        return max(0, suspect.ended_at + self._quarantine_s - now)

    def may_reach_limit(self, fingerprint: str, further: int) -> bool:
        """Return whether further ends would quarantine the request."""
        return self.crashes(fingerprint) + further >= self._crash_limit

    def _merge(
        self,
        fingerprint: str,
        incarnations: Iterable[str],
        ended_at: float,
    ) -> bool:
        known = self._suspects.get(fingerprint, _Suspect(frozenset(), ended_at))
        merged = known.incarnations.union(incarnations)
        if merged == known.incarnations:
            # An age that returns with the delay of messages extends nothing.
            return False
        suspect = _Suspect(merged, max(known.ended_at, ended_at))
        self._suspects.pop(fingerprint, None)
        self._suspects[fingerprint] = suspect
        self.revision += 1
        if len(self._suspects) > MAX_SUSPECTS:
            self._drop_one()
        return not self._is_over_limit(known) and self._is_over_limit(suspect)

    def _drop_one(self) -> None:
        oldest = next(iter(self._suspects))
        harmless = (
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if not self._is_over_limit(suspect)
        )
        self._suspects.pop(next(harmless, oldest))

    def _is_over_limit(self, suspect: _Suspect) -> bool:
        return len(suspect.incarnations) >= self._crash_limit

    def _remove_expired(self, now: float) -> None:
        expired = [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if now >= suspect.ended_at + self._retention_s(suspect)
        ]
        for fingerprint in expired:
            self._suspects.pop(fingerprint)

    def _retention_s(self, suspect: _Suspect) -> float:
        if self._is_over_limit(suspect):
            return self._quarantine_s
        return SUSPECT_RETENTION_S
