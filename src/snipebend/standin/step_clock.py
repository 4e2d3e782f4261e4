"""Clock of the stand-in engine, in seconds and in steps."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


#: Share of a step by which its boundary may be missed for lack of precision in
#: the time; far less than the event loop's millisecond.
_ROUNDING_STEPS = 1e-6


class StepClock:
    """Counts steps of a fixed duration since the start.

    The step is derived from the time, so that it also advances while the
    engine is idle, without any work.
    """

    def __init__(self, now: Callable[[], float], step_s: float) -> None:
        """Create a clock at step 0.

        ``now`` returns seconds like the loop's time.
        """
        self.now = now
        self._step_s = step_s
        self._started_at = now()
        self._hold_step: int | None = None

    @property
    def step(self) -> int:
        """Return the number of the current step."""
        if self._hold_step is None:
            return self._due_step()
        return min(self._due_step(), self._hold_step - 1)

    @property
    def is_held(self) -> bool:
        """Return whether the next step is due but held back."""
        return self._due_step() > self.step

    @property
    def next_step_at(self) -> float:
        """Return the earliest time at which the next step may start."""
        if self.is_held:
            return self.now() + self._step_s
        return self._started_at + (self.step + 1) * self._step_s

    def hold_at(self, step: int | None) -> None:
        """Hold back this step and all later ones; ``None`` ends the hold.

        After a hold, counting continues from the step that was held, without
        the steps that were missed.
        """
        missed = self._due_step() - self.step
        self._started_at += missed * self._step_s
        self._hold_step = step

    def _due_step(self) -> int:
        elapsed_steps = (self.now() - self._started_at) / self._step_s
        return int(elapsed_steps + _ROUNDING_STEPS)
