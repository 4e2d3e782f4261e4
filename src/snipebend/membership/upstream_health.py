"""Whether an upstream still answers, as its agent sees it (pure)."""

from __future__ import annotations


class UpstreamHealth:
    """Counts an upstream as down once it was silent past a deadline.

    A refused connection counts at once: nothing listens there. It is up again
    with its next answer.
    """

    def __init__(self, silent_after_s: float, now: float) -> None:
        """Begin as up; ``silent_after_s`` is in seconds."""
        self._silent_after_s = silent_after_s
        self._up_until = now + silent_after_s

    def answered(self, now: float) -> None:
        """Note any answer, whatever its status."""
        self._up_until = now + self._silent_after_s

    def refused(self, now: float) -> None:
        """Note that nothing listens."""
        self._up_until = now

    def is_down(self, now: float) -> bool:
        """Tell whether the deadline has passed."""
        return now >= self._up_until
