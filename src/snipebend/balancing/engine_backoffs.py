"""The rests that engines asked the control leader for (pure)."""

from __future__ import annotations


class EngineBackoffs:
    """Until when each engine wants neither questions nor orders."""

    def __init__(self) -> None:
        """Start without rests."""
        #: Monotonic seconds, by the engine's identity.
        self._until: dict[str, float] = {}

    def record(self, identity: str, seconds: float, now: float) -> None:
        """Take note of a rest; a longer one that was asked for stays."""
        until = max(now + seconds, self._until.get(identity, now))
        self._until = {
            known: ends for known, ends in self._until.items() if ends > now
        }
        self._until[identity] = until

    def remaining_s(self, identity: str, now: float) -> float:
        """Return the seconds that are left of an engine's rest; 0: none."""
        return max(0, self._until.get(identity, now) - now)
