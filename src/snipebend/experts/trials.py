"""Trials: how much of the predicted gains really came.

Each change that was considered, made or not, is scored against the load that
follows it. The share of the predicted gain that lasted over the horizon is
the trust in the next prediction. Load that flips back soon after each change
teaches the policy to stay put; trials of changes not made win trust back.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.experts.skew import step_skew

if TYPE_CHECKING:
    import numpy as np
    from numpy.typing import NDArray

#: Trust before any trial has ended.
_FIRST_TRUST = 0.5
#: The weight of one ended trial in the trust.
_LEARNING_RATE = 0.3
#: Trials open at once; more change nothing about what is learnt.
_MOST_OPEN = 8


class _Trial:
    """One prediction with the gains that were seen so far."""

    def __init__(
        self,
        before: NDArray[np.int16],
        after: NDArray[np.int16],
        predicted: float,
        end_step: int,
    ) -> None:
        """Start without any gain seen."""
        self.end_step = end_step
        self._before = before
        self._after = after
        self._predicted = predicted
        self._seen = float(0)
        self._count = 0

    def observe(self, loads: NDArray[np.float64]) -> None:
        """Count the gain under the recent loads."""
        before = step_skew(self._before, loads)
        self._seen += before - step_skew(self._after, loads)
        self._count += 1

    def kept_share(self) -> float:
        """Return the share of the predicted gain that came, 0 to 1."""
        mean = self._seen / max(self._count, 1)
        return min(max(mean / self._predicted, 0), 1)


class TrialBook:
    """The open trials of one group and the trust learnt from ended ones."""

    def __init__(self, horizon_steps: int) -> None:
        """Start with a middling trust; a trial runs ``horizon_steps``."""
        self.trust = _FIRST_TRUST
        self._horizon = horizon_steps
        self._open: list[_Trial] = []
        self._scored_step = -1

    def open(
        self,
        before: NDArray[np.int16],
        after: NDArray[np.int16],
        predicted: float,
        step: int,
    ) -> None:
        """Begin to score a change with a predicted gain in step skew."""
        if len(self._open) < _MOST_OPEN and predicted > 0:
            end_step = step + self._horizon
            self._open.append(_Trial(before, after, predicted, end_step))

    def score(self, loads: NDArray[np.float64], step: int) -> None:
        """Score the open trials against recent loads; learn from ended ones.

        Loads of a step that was scored already say nothing new.
        """
        if step <= self._scored_step:
            return
        self._scored_step = step
        for trial in self._open:
            trial.observe(loads)
        ended_ones = [one for one in self._open if one.end_step <= step]
        for ended in ended_ones:
            self._open.remove(ended)
            self.trust += _LEARNING_RATE * (ended.kept_share() - self.trust)
