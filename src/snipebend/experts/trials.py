"""Trials: how much of the predicted gains really came.

Each change that was considered, made or not, is scored against the load that
follows it. The share of the predicted gains that lasted over the horizon is
the trust in the next prediction. Load that flips back soon after each change
teaches the policy to stay put; trials of changes not made win trust back.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.experts.skew import step_skew

if TYPE_CHECKING:
    import numpy as np
    from numpy.typing import NDArray

#: Trust before any trial has ended; it weighs as much as the first trial.
_FIRST_TRUST = 0.5
#: What is left of the earlier trials' weight when another one ends.
_MEMORY = 0.8
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
        self.predicted = predicted
        self.end_step = end_step
        self._before = before
        self._after = after
        self._seen: list[float] = []

    def observe(self, loads: NDArray[np.float64]) -> None:
        """Count the gain under the recent loads."""
        before = step_skew(self._before, loads)
        self._seen.append(before - step_skew(self._after, loads))

    def mean_gain(self) -> float:
        """Return the mean gain that came, or the loss as a negative."""
        return sum(self._seen) / max(len(self._seen), 1)


class TrialBook:
    """The open trials of one way to predict and the trust learnt from them."""

    def __init__(self, horizon_steps: int) -> None:
        """Start with a middling trust; a trial runs ``horizon_steps``."""
        self._horizon = horizon_steps
        self._open: list[_Trial] = []
        self._scored_step = -1
        self._predicted = float(0)
        self._gained = float(0)

    @property
    def trust(self) -> float:
        """The share of predicted gains that came, from 0 to 1."""
        if self._predicted <= 0:
            return _FIRST_TRUST
        return min(max(self._gained / self._predicted, 0), 1)

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
        ended = [one for one in self._open if one.end_step <= step]
        self._open = [one for one in self._open if one.end_step > step]
        for trial in ended:
            self._learn(trial)

    def _learn(self, trial: _Trial) -> None:
        if self._predicted <= 0:
            self._predicted = trial.predicted
            self._gained = _FIRST_TRUST * trial.predicted
        self._predicted = _MEMORY * self._predicted + trial.predicted
        self._gained = _MEMORY * self._gained + trial.mean_gain()
