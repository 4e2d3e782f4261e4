"""Tracking of predicted gains against the gains that were realised.

Each change that was considered, made or not, is scored against the load that
follows it. The share of the predicted gains that lasted over the horizon is the
trust in the next prediction. If load changes back soon after each change, trust
falls and the policy changes maps less often; predictions for changes that were
not made can restore it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.experts.skew import step_skew

if TYPE_CHECKING:
    import numpy as np
    from numpy.typing import NDArray

#: Trust before any prediction is scored; it has the weight of the first one.
_FIRST_TRUST = 0.5
#: Factor of the earlier predictions' weight when another one is finished.
_RETENTION = 0.8
#: Largest number of predictions tracked at once; more would not improve the
#: estimate of trust.
_MAX_OPEN = 8


class _Prediction:
    """One prediction with the gains observed so far."""

    def __init__(
        self,
        before: NDArray[np.int16],
        after: NDArray[np.int16],
        predicted: float,
        end_step: int,
    ) -> None:
        """Create a prediction for the change of ``before`` into ``after``.

        ``predicted`` is the gain in step skew; it is observed until
        ``end_step``.
        """
        self.predicted = predicted
        self.end_step = end_step
        self._before = before
        self._after = after
        self._observed_gains: list[float] = []

    def observe(self, loads: NDArray[np.float64]) -> None:
        """Record the gain under the recent loads."""
        before = step_skew(self._before, loads)
        self._observed_gains.append(before - step_skew(self._after, loads))

    def mean_gain(self) -> float:
        """Return the mean observed gain; negative if it is a loss."""
        return sum(self._observed_gains) / max(len(self._observed_gains), 1)


class PredictionTracker:
    """Open predictions of one planner, and the trust derived from them."""

    def __init__(self, horizon_steps: int) -> None:
        """Create an empty tracker, which returns the initial trust.

        A prediction is finished after ``horizon_steps``.
        """
        self._horizon = horizon_steps
        self._open: list[_Prediction] = []
        self._scored_step = -1
        self._predicted = float(0)
        self._gained = float(0)

    @property
    def trust(self) -> float:
        """Return the realised share of predicted gains, from 0 to 1."""
        if self._predicted <= 0:
            return _FIRST_TRUST
        return min(max(self._gained / self._predicted, 0), 1)

    def add(
        self,
        before: NDArray[np.int16],
        after: NDArray[np.int16],
        predicted: float,
        step: int,
    ) -> None:
        """Begin to track a change with a predicted gain in step skew."""
        if len(self._open) < _MAX_OPEN and predicted > 0:
            end_step = step + self._horizon
            self._open.append(_Prediction(before, after, predicted, end_step))

    def score(self, loads: NDArray[np.float64], step: int) -> None:
        """Score the open predictions against recent loads.

        Trust is updated with predictions that are finished. Loads of a step
        that was already scored are ignored, since they contain nothing new.
        """
        if step <= self._scored_step:
            return
        self._scored_step = step
        for prediction in self._open:
            prediction.observe(loads)
        finished = [one for one in self._open if one.end_step <= step]
        self._open = [one for one in self._open if one.end_step > step]
        for prediction in finished:
            self._learn(prediction)

    def _learn(self, prediction: _Prediction) -> None:
        if self._predicted <= 0:
            self._predicted = prediction.predicted
            self._gained = _FIRST_TRUST * prediction.predicted
        self._predicted = _RETENTION * self._predicted + prediction.predicted
        self._gained = _RETENTION * self._gained + prediction.mean_gain()
