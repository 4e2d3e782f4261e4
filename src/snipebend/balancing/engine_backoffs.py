"""Backoffs requested by engines with Retry-After. Performs no I/O."""

from __future__ import annotations


class EngineBackoffs:
    """The times until which engines must receive neither reads nor orders."""

    def __init__(self) -> None:
        """Create an empty table; all engines may be called."""
        #: Monotonic time in seconds, by engine identity.
        self._until: dict[str, float] = {}

    def record(self, identity: str, seconds: float, now: float) -> None:
        """Record a backoff; an earlier one that lasts longer is kept."""
        until = max(now + seconds, self._until.get(identity, now))
        self._until = {
            known: ends for known, ends in self._until.items() if ends > now
        }
        self._until[identity] = until

    def remaining_s(self, identity: str, now: float) -> float:
        """Return the remaining seconds of an engine's backoff, or 0."""
        return max(0, self._until.get(identity, now) - now)
