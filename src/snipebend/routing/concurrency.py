"""The number of requests that an upstream takes well at the same time.

The gradient of recent to usual latency moves the limit, as in the Gradient2
limit of Netflix's concurrency-limits; an overload lowers it by a factor, as
in AIMD (Chiu and Jain, 1989).
"""

from __future__ import annotations

from math import sqrt

#: Latency may rise by this factor over the usual before the limit falls.
TOLERANCE = 2.0
#: A refusal for overload leaves this share of the limit.
OVERLOAD_FACTOR = 0.9
#: Weight of a new sample in the recent and in the usual latency.
RECENT_WEIGHT = 0.1
USUAL_WEIGHT = 0.002
#: Share of the way from the old limit to the new that one sample goes.
SMOOTHING = 0.2
_LEAST_GRADIENT = 0.5
_USUAL_DECAY = 0.95


class AdaptiveLimit:
    """A limit between one and the ceiling that the fleet file sets."""

    __slots__ = ('_recent', '_usual', 'ceiling', 'limit')

    def __init__(self, ceiling: int) -> None:
        """Start at the ceiling: a new upstream is spared by its slow start."""
        self.ceiling = float(ceiling)
        self.limit = float(ceiling)
        self._recent: float = 0
        self._usual: float = 0

    def take_ceiling(self, ceiling: int) -> None:
        """Take over a new ceiling."""
        self.ceiling = float(ceiling)
        self.limit = min(self.limit, self.ceiling)

    def observe(self, latency_s: float, outstanding: float) -> None:
        """Take the latency of one attempt served in."""
        if latency_s <= 0:
            return
        if not self._usual:
            self._recent = latency_s
            self._usual = latency_s
        self._recent += RECENT_WEIGHT * (latency_s - self._recent)
        self._usual += USUAL_WEIGHT * (latency_s - self._usual)
        if self._usual > TOLERANCE * self._recent:
            # An overload had raised the usual: let it fall back quickly.
            self._usual *= _USUAL_DECAY
        self._move(outstanding)

    def overload(self) -> None:
        """Lower the limit after a refusal or a timeout."""
        self.limit = max(1.0, self.limit * OVERLOAD_FACTOR)

    def _move(self, outstanding: float) -> None:
        ratio = TOLERANCE * self._usual / self._recent
        gradient = max(_LEAST_GRADIENT, min(1.0, ratio))
        if gradient == 1 and outstanding < self.limit / 2:
            return
        target = self.limit * gradient + sqrt(self.limit)
        moved = self.limit + SMOOTHING * (target - self.limit)
        self.limit = max(1.0, min(self.ceiling, moved))
