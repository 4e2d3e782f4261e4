"""Ejects failing and slow upstreams, and readmits them after a probe.

This is outlier ejection with a circuit breaker's half-open state (Nygard,
Release It!): after the ejection time, one attempt at a time probes the
upstream.
"""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median
from typing import TYPE_CHECKING, Literal

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

#: Whether an upstream accepts attempts, accepts none, or accepts one probe.
EjectionStatus = Literal['in', 'out', 'probe']

#: Each further ejection doubles the ejection time, up to this factor.
MAX_BACKOFF = 8
#: An upstream is a straggler above this multiple of the candidates' median
#: latency.
STRAGGLER_FACTOR = 4.0
#: With fewer candidates the median is not meaningful.
MIN_FOR_MEDIAN = 4


@dataclass(slots=True)
class _Health:
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0
    is_ejected: bool = False
    probing: bool = False


class Ejector:
    """Ejection status of the candidates; at most half of them are ejected."""

    def __init__(self) -> None:
        """Create an ejector without candidates."""
        self._health: dict[str, _Health] = {}
        self._ejected: dict[str, None] = {}

    @property
    def ejected(self) -> tuple[str, ...]:
        """Return the ejected upstreams, earliest ejection first."""
        return tuple(self._ejected)

    def update_candidates(self, names: Collection[str]) -> None:
        """Replace the candidates; readmit ejected ones above the maximum."""
        self._health = {
            name: self._health.get(name, _Health()) for name in names
        }
        self._ejected = {
            name: None for name in self._ejected if name in self._health
        }
        while len(self._ejected) > self._max_ejected():
            self._readmit(next(iter(self._ejected)))

    def status(self, name: str, now: float) -> EjectionStatus:
        """Return whether an upstream can take attempts, or one probe."""
        if name not in self._ejected:
            return 'in'
        health = self._health[name]
        if health.probing or now < health.ejected_until:
            return 'out'
        return 'probe'

    def start_probe(self, name: str) -> None:
        """Record that the probe of an ejected upstream was sent."""
        if name in self._ejected:
            self._health[name].probing = True

    def cancel_probe(self, name: str) -> None:
        """Record that the probe ended without a result."""
        if name in self._ejected:
            self._health[name].probing = False

    def record_success(self, name: str) -> bool:
        """Count a success; return whether it readmits the upstream."""
        health = self._health.get(name)
        if health is None:
            return False
        health.failures = 0
        if not (health.is_ejected and health.probing):
            return False
        self._readmit(name)
        return True

    def record_failure(
        self, name: str, now: float, max_failures: int, ejection_s: float
    ) -> bool:
        """Count a failure; return whether it ejects the upstream."""
        health = self._health.get(name)
        if health is None:
            return False
        health.failures += 1
        if health.is_ejected:
            if health.probing:
                self._eject(name, health, now, ejection_s)
            return False
        if health.failures < max_failures:
            return False
        return self._try_eject(name, health, now, ejection_s)

    def eject_stragglers(
        self,
        latencies: Mapping[str, float],
        now: float,
        ejection_s: float,
    ) -> None:
        """Eject upstreams far slower than the median of the candidates."""
        if len(latencies) < MIN_FOR_MEDIAN:
            return
        bound = STRAGGLER_FACTOR * median(latencies.values())
        for name, latency in latencies.items():
            health = self._health.get(name)
            if latency > bound and health is not None and not health.is_ejected:
                self._try_eject(name, health, now, ejection_s)

    def _max_ejected(self) -> int:
        return len(self._health) // 2

    def _try_eject(
        self, name: str, health: _Health, now: float, ejection_s: float
    ) -> bool:
        if len(self._ejected) >= self._max_ejected():
            return False
        self._eject(name, health, now, ejection_s)
        return True

    def _eject(
        self, name: str, health: _Health, now: float, ejection_s: float
    ) -> None:
        backoff = min(MAX_BACKOFF, 2**health.ejections)
        health.ejections += 1
        health.ejected_until = now + ejection_s * backoff
        health.is_ejected = True
        health.probing = False
        self._ejected[name] = None

    def _readmit(self, name: str) -> None:
        health = self._health[name]
        health.is_ejected = False
        health.probing = False
        health.failures = 0
        self._ejected.pop(name, None)
