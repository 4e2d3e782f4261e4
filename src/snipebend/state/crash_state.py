"""State and rules of crashes and suspect requests; performs no I/O.

A crash of an upstream makes each request that was running on it a suspect,
which from then on runs alone. A suspect that runs to completion is cleared.
Only a request that was running alone in at least one crash can be quarantined,
so that requests that merely ran at the same time never are. Shared crashes
count as well, so that with a limit of two or more a request causes no more
crashes than the limit.
"""

from __future__ import annotations

from collections import Counter

from msgspec import Struct

from snipebend.state.crashes import (
    CrashReport,
    Suspect,
    SuspectCleared,
    SuspectList,
)

#: Limit on the crashes that are kept; the oldest is removed first.
MAX_CRASHES = 4096


class CrashRecord(Struct):
    """A crash: the requests that were running, those since cleared, expiry."""

    fingerprints: set[str]
    alone: bool
    expires_at: float
    cleared: set[str] = set()

    def counts_against(self, fingerprint: str) -> bool:
        """Return whether the crash counts against a request."""
        was_running = fingerprint in self.fingerprints
        return was_running and fingerprint not in self.cleared


class CrashState(Struct):
    """All crashes that have not expired, and the quarantined requests."""

    revision: int = 0
    deaths: dict[str, CrashRecord] = {}
    quarantines: dict[str, float] = {}

    def report(
        self, req: CrashReport, now: float, limit: int, quarantine_s: float
    ) -> SuspectList:
        """Record a crash; further reports of it only add requests."""
        name = f'{req.upstream}/{req.incarnation}'
        crash = self.deaths.get(name)
        if crash is None:
            expires_at = now + 2 * quarantine_s
            crash = CrashRecord(set(), req.ran_alone, expires_at)
            self._add(name, crash)
        new_fingerprints = set(req.fingerprints) - crash.fingerprints
        if not new_fingerprints:
            return self.suspects()
        crash.fingerprints |= new_fingerprints
        crash.alone = (
            crash.alone and req.ran_alone and len(crash.fingerprints) == 1
        )
        for fingerprint in sorted(new_fingerprints):
            if self._must_quarantine(fingerprint, limit):
                self.quarantines[fingerprint] = now + quarantine_s
        self.revision += 1
        return self.suspects()

    def clear(self, req: SuspectCleared, now: float) -> SuspectList:
        """Clear a suspect.

        A suspect that is quarantined, or whose number of crashes has changed
        since the cleared request started, stays one.
        """
        fingerprint = req.fingerprint
        if self._count(fingerprint) != req.deaths or not req.deaths:
            return self.suspects()
        if self.quarantines.get(fingerprint, 0) > now:
            return self.suspects()
        for crash in self.deaths.values():
            if crash.counts_against(fingerprint):
                crash.cleared.add(fingerprint)
        self.quarantines.pop(fingerprint, None)
        self.revision += 1
        return self.suspects()

    def expire(self, now: float) -> None:
        """Remove the expired crashes."""
        expired = [
            name
            for name, crash in self.deaths.items()
            if crash.expires_at <= now
        ]
        for name in expired:
            self._remove(name)

    def suspects(self) -> SuspectList:
        """Return all suspects, sorted."""
        counts = Counter(
            fingerprint
            for crash in self.deaths.values()
            for fingerprint in crash.fingerprints - crash.cleared
        )
        suspects = tuple(
            Suspect(
                fingerprint,
                counts[fingerprint],
                self.quarantines.get(fingerprint, 0),
            )
            for fingerprint in sorted(counts)
        )
        return SuspectList(self.revision, suspects)

    def _add(self, name: str, crash: CrashRecord) -> None:
        self.deaths[name] = crash
        if len(self.deaths) > MAX_CRASHES:
            self._remove(next(iter(self.deaths)))

    def _remove(self, name: str) -> None:
        crash = self.deaths.pop(name)
        for fingerprint in crash.fingerprints:
            if not self._count(fingerprint):
                self.quarantines.pop(fingerprint, None)
        self.revision += 1

    def _count(self, fingerprint: str) -> int:
        return sum(
            crash.counts_against(fingerprint) for crash in self.deaths.values()
        )

    def _must_quarantine(self, fingerprint: str, limit: int) -> bool:
        counted = [
            crash
            for crash in self.deaths.values()
            if crash.counts_against(fingerprint)
        ]
        alone = any(crash.alone for crash in counted)
        return alone and len(counted) >= limit
