"""Takes upstreams that fail or straggle out, and lets them back by a probe.

Outlier ejection with a circuit breaker's half-open state (Nygard, Release
It!): after the ejection one attempt at a time probes the upstream.
"""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median
from typing import TYPE_CHECKING, Literal

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

Standing = Literal['in', 'out', 'probe']

#: Each ejection in a row doubles the span, up to this factor.
MAX_BACKOFF = 8
#: A straggler's latency is this many times the median of the candidates.
STRAGGLER_FACTOR = 4.0
#: Below this many candidates the median says nothing.
LEAST_FOR_MEDIAN = 4


@dataclass(slots=True)
class _Health:
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0
    out: bool = False
    probing: bool = False


class Ejector:
    """The standing of the candidates; at most half of them are out."""

    def __init__(self) -> None:
        """Start without candidates."""
        self._health: dict[str, _Health] = {}
        self._out: dict[str, None] = {}

    @property
    def ejected(self) -> tuple[str, ...]:
        """Return the upstreams that are out, the longest first."""
        return tuple(self._out)

    def watch(self, names: Collection[str]) -> None:
        """Replace the candidates; too many ejected ones come back."""
        self._health = {
            name: self._health.get(name, _Health()) for name in names
        }
        self._out = {name: None for name in self._out if name in self._health}
        while len(self._out) > self._most():
            self._readmit(next(iter(self._out)))

    def standing(self, name: str, now: float) -> Standing:
        """Tell whether an upstream may take work, or one probe."""
        if name not in self._out:
            return 'in'
        health = self._health[name]
        if health.probing or now < health.ejected_until:
            return 'out'
        return 'probe'

    def start_probe(self, name: str) -> None:
        """Note that the one probe of an ejected upstream is on its way."""
        if name in self._out:
            self._health[name].probing = True

    def drop_probe(self, name: str) -> None:
        """Note that the probe ended without a verdict."""
        if name in self._out:
            self._health[name].probing = False

    def served(self, name: str) -> bool:
        """Count a success; return True when it brings an upstream back."""
        health = self._health.get(name)
        if health is None:
            return False
        health.failures = 0
        if not (health.out and health.probing):
            return False
        self._readmit(name)
        return True

    def failed(self, name: str, now: float, limit: int, span_s: float) -> bool:
        """Count a failure; return True when it ejects the upstream."""
        health = self._health.get(name)
        if health is None:
            return False
        health.failures += 1
        if health.out:
            if health.probing:
                self._eject(name, health, now, span_s)
            return False
        if health.failures < limit:
            return False
        return self._try_eject(name, health, now, span_s)

    def eject_stragglers(
        self,
        latencies: Mapping[str, float],
        now: float,
        span_s: float,
    ) -> None:
        """Eject the upstreams far slower than the median of the others."""
        if len(latencies) < LEAST_FOR_MEDIAN:
            return
        bound = STRAGGLER_FACTOR * median(latencies.values())
        for name, latency in latencies.items():
            health = self._health.get(name)
            if latency > bound and health is not None and not health.out:
                self._try_eject(name, health, now, span_s)

    def _most(self) -> int:
        return len(self._health) // 2

    def _try_eject(
        self, name: str, health: _Health, now: float, span_s: float
    ) -> bool:
        if len(self._out) >= self._most():
            return False
        self._eject(name, health, now, span_s)
        return True

    def _eject(
        self, name: str, health: _Health, now: float, span_s: float
    ) -> None:
        backoff = min(MAX_BACKOFF, 2**health.ejections)
        health.ejections += 1
        health.ejected_until = now + span_s * backoff
        health.out = True
        health.probing = False
        self._out[name] = None

    def _readmit(self, name: str) -> None:
        health = self._health[name]
        health.out = False
        health.probing = False
        health.failures = 0
        self._out.pop(name, None)
