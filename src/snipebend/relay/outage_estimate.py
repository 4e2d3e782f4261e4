"""How long a service's upstreams will have stopped, from their last outage.

Performs no I/O. Answers the loss of a rank, after which its group calls nobody
until it has formed again.
"""

from __future__ import annotations

from dataclasses import dataclass

#: Seconds between the last sight of an outage and its end within which the
#: outage is taken to have lasted until then.
MAX_SIGHT_AGE_S = 1.0

#: Seconds until a lost rank is back, before any outage has been seen: its
#: process starts again, and control hears of it.
RESTART_S = 1.0


@dataclass(slots=True)
class OutageEstimate:
    """The present outage and the duration of the last one."""

    _began_at: float | None = None
    _seen_at: float = 0
    _last_s: float | None = None

    def record(self, now: float, *, is_down: bool) -> None:
        """Record whether all upstreams have stopped."""
        if is_down:
            if self._began_at is None:
                self._began_at = now
            self._seen_at = now
        elif self._began_at is not None:
            # Nothing is recorded while no requests arrive.
            if now <= self._seen_at + MAX_SIGHT_AGE_S:
                self._last_s = now - self._began_at
            self._began_at = None

    def left_s(self, now: float, form_s: float) -> float:
        """Return seconds until upstreams are expected back.

        An outage that lasts longer than expected is taken to last as long
        again: it isn't the restart of a process.
        """
        if self._began_at is None:
            return 0
        elapsed_s = now - self._began_at
        expected_s = RESTART_S + form_s
        if self._last_s is not None:
            expected_s = max(form_s, self._last_s)
        if elapsed_s < expected_s:
            return expected_s - elapsed_s
        return elapsed_s
