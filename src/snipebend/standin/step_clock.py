"""The engine's time in seconds and in steps."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class StepClock:
    """Counts steps of a fixed span since the start.

    The step grows while the engine is idle, at no cost.
    """

    def __init__(self, now: Callable[[], float], step_s: float) -> None:
        """Start at step 0; ``now`` gives seconds, as the loop's time does."""
        self.now = now
        self._step_s = step_s
        self._started_at = now()

    @property
    def step(self) -> int:
        """Return the number of the present step."""
        return int((self.now() - self._started_at) / self._step_s)

    @property
    def next_step_at(self) -> float:
        """Return the time at which the next step starts."""
        return self._started_at + (self.step + 1) * self._step_s
