"""State and rules of crashes and suspect requests; performs no I/O.

A crash of an upstream makes each request that was running on it a suspect,
which from then on runs alone. A suspect that runs to completion is cleared.
Only a request that was running alone in at least one crash can be quarantined,
so that requests that merely ran at the same time never are. Shared crashes
count as well, so that with a limit of two or more a request causes no more
crashes than the limit.

Unlike requests that share a crashing part of their prompts each crash an
upstream beside others. Such a part is quarantined after one crash more, unless
a request with it runs to completion meanwhile.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from msgspec import Struct

from snipebend.hashing.part_keys import is_part_key
from snipebend.state.crashes import (
    CrashReport,
    Suspect,
    SuspectCleared,
    SuspectList,
)
from snipebend.state.crashing_parts import find_crashing_parts

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Limit on the crashes that are kept; the oldest is removed first.
MAX_CRASHES = 4096

#: Crashes from which on a prompt part is listed, so that it can be cleared.
MIN_LISTED_CRASHES = 2


class CrashRecord(Struct):
    """A crash: the requests that were running, those since cleared, expiry."""

    fingerprints: set[str]
    alone: bool
    expires_at: float
    cleared: set[str] = set()
    #: When attempts of the requests with each prompt part began, by key and
    #: fingerprint, and when the upstream crashed; wall milliseconds.
    parts: dict[str, dict[str, int]] = {}
    crashed_ms: int = 0

    def counts_against(self, key: str) -> bool:
        """Return whether the crash counts against a request or a part."""
        was_running = key in self.fingerprints or key in self.parts
        return was_running and key not in self.cleared

    def add_parts(self, req: CrashReport) -> None:
        """Add the prompt parts of the requests that were running."""
        for fingerprint, keys in req.parts.items():
            for key in keys:
                began_ms = req.began_ms.get(fingerprint, 0)
                self.parts.setdefault(key, {})[fingerprint] = began_ms


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
            crash = CrashRecord(
                set(), req.ran_alone, expires_at, crashed_ms=req.incarnation
            )
            self._add(name, crash)
        new_fingerprints = set(req.fingerprints) - crash.fingerprints
        if not new_fingerprints:
            return self.suspects()
        crash.fingerprints |= new_fingerprints
        crash.add_parts(req)
        crash.alone = (
            crash.alone and req.ran_alone and len(crash.fingerprints) == 1
        )
        for fingerprint in sorted(new_fingerprints):
            if self._must_quarantine(fingerprint, limit):
                self.quarantines[fingerprint] = now + quarantine_s
        self._quarantine_parts(crash.parts, now, limit, quarantine_s)
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
        counts.update(self._count_parts())
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
        for key in crash.fingerprints.union(crash.parts):
            if not self._count(key):
                self.quarantines.pop(key, None)
        self.revision += 1

    def _quarantine_parts(
        self,
        parts: Iterable[str],
        now: float,
        limit: int,
        quarantine_s: float,
    ) -> None:
        known = [
            key
            for key, until in self.quarantines.items()
            if is_part_key(key) and until > now
        ]
        for key in find_crashing_parts(
            self.deaths.values(), parts, known, limit
        ):
            self.quarantines[key] = now + quarantine_s

    def _count_parts(self) -> dict[str, int]:
        """Return the crashes of each part that may soon be quarantined."""
        counts = Counter(
            key
            for crash in self.deaths.values()
            for key in crash.parts
            if key not in crash.cleared
        )
        return {
            key: count
            for key, count in counts.items()
            if count >= MIN_LISTED_CRASHES
        }

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
