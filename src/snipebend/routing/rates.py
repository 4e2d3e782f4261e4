"""A token bucket for rate limits, and the measured drain rate of a pool."""

from __future__ import annotations

from math import exp

#: Time constant of the moving average of the drain rate.
DRAIN_WINDOW_S = 10.0
#: Weight of a new sample in the mean holding time of requests.
HOLD_TIME_WEIGHT = 0.05


class TokenBucket:
    """A token bucket with a rate and a burst."""

    __slots__ = ('_burst', '_rate', '_refilled_at', '_tokens')

    def __init__(self, rate_per_s: float, burst: float) -> None:
        """Create a full bucket."""
        self._rate = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_at: float | None = None

    def update_limits(self, rate_per_s: float, burst: float) -> None:
        """Set new limits; keep the tokens up to the new burst."""
        self._rate = rate_per_s
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def wait_s(self, now: float) -> float:
        """Return the time until a token is available; zero if one is."""
        if self._refilled_at is not None:
            earned = max(0, now - self._refilled_at) * self._rate
            self._tokens = min(self._burst, self._tokens + earned)
        self._refilled_at = now
        missing = 1 - self._tokens
        return missing / self._rate if missing > 0 else 0

    def consume(self) -> None:
        """Consume one token."""
        self._tokens -= 1


class DrainRate:
    """Requests per second that a pool completes.

    The greater of two measurements: completions over the last seconds, and, by
    Little's law, the requests in flight divided by their mean holding time
    ``hold_s``. The first alone underestimates a pool that has been idle.
    """

    __slots__ = ('_counted_at', '_rate', 'hold_s')

    def __init__(self) -> None:
        """Create a rate without measurements."""
        self._rate: float = 0
        self._counted_at: float = 0
        self.hold_s: float = 0

    def record_completion(self, held_s: float, now: float) -> None:
        """Record a completed request and how long it was held."""
        self._rate = self._decayed(now) + 1 / DRAIN_WINDOW_S
        self._counted_at = now
        weight = HOLD_TIME_WEIGHT if self.hold_s else 1
        self.hold_s += weight * (held_s - self.hold_s)

    def requests_per_s(self, in_flight: int, now: float) -> float:
        """Return the larger measurement; zero until a request has completed."""
        if not self.hold_s:
            return 0
        return max(self._decayed(now), in_flight / self.hold_s)

    def _decayed(self, now: float) -> float:
        span = max(0, now - self._counted_at)
        return self._rate * exp(-span / DRAIN_WINDOW_S)
