"""Rates: the token bucket of a workspace and the drain rate of a queue."""

from __future__ import annotations

from math import exp

#: Span over which the drain rate is averaged.
DRAIN_SPAN_S = 10.0
#: Weight of one more request in the mean time that requests are held.
HOLD_WEIGHT = 0.05


class TokenBucket:
    """A rate with a burst."""

    __slots__ = ('_burst', '_filled_at', '_rate', '_tokens')

    def __init__(self, rate_per_s: float, burst: float) -> None:
        """Start full."""
        self._rate = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._filled_at: float | None = None

    def apply_limits(self, rate_per_s: float, burst: float) -> None:
        """Take over new limits; the tokens in hand stay."""
        self._rate = rate_per_s
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def wait_s(self, now: float) -> float:
        """Return the span until one token is there; zero if it is."""
        if self._filled_at is not None:
            earned = max(0, now - self._filled_at) * self._rate
            self._tokens = min(self._burst, self._tokens + earned)
        self._filled_at = now
        missing = 1 - self._tokens
        return missing / self._rate if missing > 0 else 0

    def take(self) -> None:
        """Take one token."""
        self._tokens -= 1


class DrainRate:
    """How many requests a second a pool gets done.

    The greater of two measurements: closes over the last seconds, and, by
    Little's law, the requests in hand over the mean time that each is held.
    The first alone underestimates a pool that was idle until now.
    """

    __slots__ = ('_counted_at', '_rate', 'hold_s')

    def __init__(self) -> None:
        """Start without a measurement."""
        self._rate: float = 0
        self._counted_at: float = 0
        self.hold_s: float = 0

    def note(self, held_s: float, now: float) -> None:
        """Count a request that is done."""
        self._rate = self._decayed(now) + 1 / DRAIN_SPAN_S
        self._counted_at = now
        weight = HOLD_WEIGHT if self.hold_s else 1
        self.hold_s += weight * (held_s - self.hold_s)

    def per_s(self, in_hand: int, now: float) -> float:
        """Return requests a second; zero: not measured yet."""
        if not self.hold_s:
            return 0
        return max(self._decayed(now), in_hand / self.hold_s)

    def _decayed(self, now: float) -> float:
        span = max(0, now - self._counted_at)
        return self._rate * exp(-span / DRAIN_SPAN_S)
