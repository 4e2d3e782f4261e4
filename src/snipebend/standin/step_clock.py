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
        self._hold_step: int | None = None

    @property
    def step(self) -> int:
        """Return the number of the present step."""
        if self._hold_step is None:
            return self._due_step()
        return min(self._due_step(), self._hold_step - 1)

    @property
    def held(self) -> bool:
        """Tell whether the next step is due, but must not start."""
        return self._due_step() > self.step

    @property
    def next_step_at(self) -> float:
        """Return the time at which the next step starts, at the earliest."""
        if self.held:
            return self.now() + self._step_s
        return self._started_at + (self.step + 1) * self._step_s

    def hold_at(self, step: int | None) -> None:
        """Start no step from this later one on; None goes on from there."""
        lost = self._due_step() - self.step
        self._started_at += lost * self._step_s
        self._hold_step = step

    def _due_step(self) -> int:
        return int((self.now() - self._started_at) / self._step_s)
