"""Health of an upstream, as observed by its agent. Performs no I/O."""

from __future__ import annotations


class UpstreamHealth:
    """Marks an upstream as down if it does not respond within a timeout.

    A refused connection marks it at once, as nothing listens at its address.
    The next response marks it as up again.
    """

    def __init__(self, silent_after_s: float, now: float) -> None:
        """Create the health of an upstream that counts as up at ``now``.

        ``silent_after_s`` is the timeout in seconds.
        """
        self._silent_after_s = silent_after_s
        self._up_until = now + silent_after_s

    def record_response(self, now: float) -> None:
        """Record a response, whatever its status."""
        self._up_until = now + self._silent_after_s

    def record_refusal(self, now: float) -> None:
        """Record a refused connection."""
        self._up_until = now

    def is_down(self, now: float) -> bool:
        """Return whether the timeout has passed."""
        return now >= self._up_until
