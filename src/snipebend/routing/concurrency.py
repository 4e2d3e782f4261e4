"""An adaptive limit on the concurrent requests to one upstream.

The gradient between baseline and recent latency moves the limit, as in the
Gradient2 limit of Netflix's concurrency-limits. An overload lowers it by a
factor, as in AIMD (Chiu and Jain, 1989).
"""

from __future__ import annotations

from math import sqrt

#: Latency may exceed the baseline by this factor before the limit falls.
LATENCY_TOLERANCE = 2.0
#: Factor applied to the limit after a refusal for overload.
OVERLOAD_FACTOR = 0.9
#: Weights of a new sample in the averages of recent and of baseline latency.
RECENT_WEIGHT = 0.1
BASELINE_WEIGHT = 0.002
#: Share of the difference to the target limit that one sample applies.
SMOOTHING = 0.2
_MIN_GRADIENT = 0.5
_BASELINE_DECAY = 0.95


class AdaptiveLimit:
    """A concurrency limit between one and the fleet file's ceiling."""

    __slots__ = ('_baseline', '_recent', 'ceiling', 'limit')

    def __init__(self, ceiling: int) -> None:
        """Create a limit that is equal to its ceiling.

        It need not be lower for a new upstream, which slow start protects.
        """
        self.ceiling = float(ceiling)
        self.limit = float(ceiling)
        self._recent: float = 0
        self._baseline: float = 0

    def update_ceiling(self, ceiling: int) -> None:
        """Set a new ceiling."""
        self.ceiling = float(ceiling)
        self.limit = min(self.limit, self.ceiling)

    def observe(self, latency_s: float, outstanding: float) -> None:
        """Adjust the limit by the latency of one served attempt."""
        if latency_s <= 0:
            return
        if not self._baseline:
            self._recent = latency_s
            self._baseline = latency_s
        self._recent += RECENT_WEIGHT * (latency_s - self._recent)
        self._baseline += BASELINE_WEIGHT * (latency_s - self._baseline)
        if self._baseline > LATENCY_TOLERANCE * self._recent:
            # An overload raised the baseline; let it recover quickly.
            self._baseline *= _BASELINE_DECAY
        self._adjust(outstanding)

    def back_off(self) -> None:
        """Lower the limit after a refusal or a timeout."""
        self.limit = max(1.0, self.limit * OVERLOAD_FACTOR)

    def _adjust(self, outstanding: float) -> None:
        ratio = LATENCY_TOLERANCE * self._baseline / self._recent
        gradient = max(_MIN_GRADIENT, min(1.0, ratio))
        if gradient == 1 and outstanding < self.limit / 2:
            return
        target = self.limit * gradient + sqrt(self.limit)
        adjusted = self.limit + SMOOTHING * (target - self.limit)
        self.limit = max(1.0, min(self.ceiling, adjusted))
