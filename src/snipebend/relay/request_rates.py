"""Rates of requests over the last seconds, by priority.

Performs no I/O.
"""

from __future__ import annotations

from math import exp

#: Time constant of the moving averages, in seconds: a burst shows within it.
WINDOW_S = 1.5


class RequestRates:
    """Requests per second by priority."""

    def __init__(self) -> None:
        """Create without requests."""
        self._rates: dict[int, float] = {}
        self._counted_at: float = 0

    def record(self, priority: int, now: float) -> None:
        """Count a request."""
        kept = exp(min(0, self._counted_at - now) / WINDOW_S)
        for other in self._rates:
            self._rates[other] *= kept
        self._counted_at = now
        self._rates[priority] = self._rates.get(priority, 0) + 1 / WINDOW_S

    def below(self, priority: int, now: float) -> float:
        """Return the rate of all requests that are more urgent."""
        rates = (
            rate for other, rate in self._rates.items() if other < priority
        )
        return sum(rates) * self._kept(now)

    def of(self, priority: int, now: float) -> float:
        """Return the rate of the requests of a priority."""
        return self._rates.get(priority, 0) * self._kept(now)

    def total(self, now: float) -> float:
        """Return the rate of all requests."""
        return sum(self._rates.values()) * self._kept(now)

    def _kept(self, now: float) -> float:
        return exp(min(0, self._counted_at - now) / WINDOW_S)
