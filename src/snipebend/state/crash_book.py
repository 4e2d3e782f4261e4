"""Counting the deaths of upstreams against the requests on them (pure).

A death with several requests on the upstream makes each of them a suspect,
which from then on runs alone. A suspect that reaches its end is cleared. Only
a request that was alone at a death at least once can be quarantined, so those
that merely ran beside it never are; its shared deaths count as well, so that
with a limit of two or more it takes no more than the limit.
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

#: Deaths that are remembered; the oldest is dropped first.
MAX_DEATHS = 4096


class Death(Struct):
    """One death: who ran there, who is cleared of it, when it is forgotten."""

    fingerprints: set[str]
    alone: bool
    expires_at: float
    cleared: set[str] = set()

    def blames(self, fingerprint: str) -> bool:
        """Tell whether the death counts against a request."""
        known = fingerprint in self.fingerprints
        return known and fingerprint not in self.cleared


class CrashBook(Struct):
    """All deaths that still count, and the quarantines."""

    revision: int = 0
    deaths: dict[str, Death] = {}
    quarantines: dict[str, float] = {}

    def report(
        self, req: CrashReport, now: float, limit: int, quarantine_s: float
    ) -> SuspectList:
        """Count a death once, whoever reports it; late reports add to it."""
        name = f'{req.upstream}/{req.incarnation}'
        death = self.deaths.get(name)
        if death is None:
            expires_at = now + 2 * quarantine_s
            death = Death(set(), req.ran_alone, expires_at)
            self._remember(name, death)
        fresh = set(req.fingerprints) - death.fingerprints
        if not fresh:
            return self.suspects()
        death.fingerprints |= fresh
        death.alone = (
            death.alone and req.ran_alone and len(death.fingerprints) == 1
        )
        for fingerprint in sorted(fresh):
            if self._is_proved(fingerprint, limit):
                self.quarantines[fingerprint] = now + quarantine_s
        self.revision += 1
        return self.suspects()

    def clear(self, req: SuspectCleared, now: float) -> SuspectList:
        """Clear a suspect, unless it is quarantined or died meanwhile."""
        fingerprint = req.fingerprint
        if self._count(fingerprint) != req.deaths or not req.deaths:
            return self.suspects()
        if self.quarantines.get(fingerprint, 0) > now:
            return self.suspects()
        for death in self.deaths.values():
            if death.blames(fingerprint):
                death.cleared.add(fingerprint)
        self.quarantines.pop(fingerprint, None)
        self.revision += 1
        return self.suspects()

    def expire(self, now: float) -> None:
        """Forget the deaths whose time has come."""
        gone = [
            name
            for name, death in self.deaths.items()
            if death.expires_at <= now
        ]
        for name in gone:
            self._forget(name)

    def suspects(self) -> SuspectList:
        """Return all suspects, sorted."""
        counts = Counter(
            fingerprint
            for death in self.deaths.values()
            for fingerprint in death.fingerprints - death.cleared
        )
        found = tuple(
            Suspect(
                fingerprint,
                counts[fingerprint],
                self.quarantines.get(fingerprint, 0),
            )
            for fingerprint in sorted(counts)
        )
        return SuspectList(self.revision, found)

    def _remember(self, name: str, death: Death) -> None:
        self.deaths[name] = death
        if len(self.deaths) > MAX_DEATHS:
            self._forget(next(iter(self.deaths)))

    def _forget(self, name: str) -> None:
        death = self.deaths.pop(name)
        for fingerprint in death.fingerprints:
            if not self._count(fingerprint):
                self.quarantines.pop(fingerprint, None)
        self.revision += 1

    def _count(self, fingerprint: str) -> int:
        return sum(death.blames(fingerprint) for death in self.deaths.values())

    def _is_proved(self, fingerprint: str, limit: int) -> bool:
        blamed = [
            death for death in self.deaths.values() if death.blames(fingerprint)
        ]
        alone = any(death.alone for death in blamed)
        return alone and len(blamed) >= limit
