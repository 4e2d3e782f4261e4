"""Estimation of expert load from late and incomplete reports of ranks.

Each rank counts which experts the tokens that start on it chose, so any subset
of ranks is an unbiased sample of the group's traffic: missing ranks and layers
widen the variance and add no bias. Reports are weighted by the age of their
step (forward decay: G. Cormode, V. Shkapenyuk, D. Srivastava, B. Xu, "Forward
decay: a practical time decay model for streaming systems", ICDE 2009), so the
estimate does not depend on the order in which they arrive.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import numpy as np
from result import Err, Ok

from snipebend.errors.hierarchy import InvalidInputError

if TYPE_CHECKING:
    from numpy.typing import NDArray
    from result import Result

    from snipebend.experts.model import GroupShape

#: Reports older than this many half-lives have a weight below 1/256 and are
#: dropped.
_MAX_AGE_HALF_LIVES = 8
#: The half-life of the recent shares is shorter than the estimate's by the
#: first factor, that of the long-run shares longer by the second.
_RECENT_FACTOR = 4
_LONG_FACTOR = 32


class ExpertReport(NamedTuple):
    """Expert choices of one rank's tokens since its last report.

    ``step`` is the last step counted. ``counts`` has one row for each entry of
    ``layers``; layers that are missing were not counted.
    """

    rank: int
    step: int
    layers: NDArray[np.int64]
    counts: NDArray[np.int64]


class LoadEstimate(NamedTuple):
    """Share of each expert in the tokens of its layer, with variances.

    ``shares``, ``variances`` and ``recent`` have the axes layers and experts;
    ``recent`` holds the shares over a shorter period, ``long_shares`` and
    ``long_variances`` those over a longer one. ``step`` is the newest reported
    step (-1: none). Layers without a report have equal shares with variance 1.
    """

    shares: NDArray[np.float64]
    variances: NDArray[np.float64]
    recent: NDArray[np.float64]
    long_shares: NDArray[np.float64]
    long_variances: NDArray[np.float64]
    step: int

    def long_run(self) -> LoadEstimate:
        """Return the estimate with the long-run shares and variances."""
        return self._replace(
            shares=self.long_shares,
            variances=self.long_variances,
        )


class LoadEstimator:
    """Collects the reports of one incarnation of a group."""

    def __init__(self, shape: GroupShape, half_life_steps: float) -> None:
        """Create an estimator without reports.

        The weight of a report halves every ``half_life_steps`` steps. For the
        recent shares it halves sooner, for the long-run shares later.
        """
        self._shape = shape
        self._max_age = _MAX_AGE_HALF_LIVES * half_life_steps
        self._slow = _DecayedSums(shape, half_life_steps)
        self._recent = _DecayedSums(shape, half_life_steps / _RECENT_FACTOR)
        self._long = _DecayedSums(shape, half_life_steps * _LONG_FACTOR)
        self._recorded_layers: dict[tuple[int, int], NDArray[np.bool_]] = {}
        self._step = -1

    def record(self, report: ExpertReport) -> Result[bool, InvalidInputError]:
        """Add a report; ``Ok(False)`` if it is too old or a duplicate.

        Layers that were already recorded for the same rank and step are
        ignored.
        """
        fault = _find_fault(self._shape, report)
        if fault:
            return Err(InvalidInputError(fault, step='record expert load'))
        self._advance(report.step)
        if report.step < self._step - self._max_age:
            return Ok(False)
        is_new = self._mark_recorded(report)
        age = self._step - report.step
        for sums in (self._slow, self._recent, self._long):
            sums.add(report.layers[is_new], report.counts[is_new], age)
        return Ok(bool(is_new.any()))

    def estimate(self) -> LoadEstimate:
        """Return the estimate as of the newest step."""
        slow = _estimate_shares(self._slow)
        recent = _estimate_shares(self._recent)
        blend = _shrink_to_slow(slow, recent)
        return LoadEstimate(
            blend.shares,
            blend.variances,
            recent.shares,
            *_estimate_shares(self._long),
            self._step,
        )

    def _advance(self, step: int) -> None:
        if step <= self._step:
            return
        elapsed = step - self._step if self._step >= 0 else 0
        for sums in (self._slow, self._recent, self._long):
            sums.decay(elapsed)
        self._step = step
        oldest = step - self._max_age
        self._recorded_layers = {
            key: layers
            for key, layers in self._recorded_layers.items()
            if key[1] >= oldest
        }

    def _mark_recorded(self, report: ExpertReport) -> NDArray[np.bool_]:
        key = (report.rank, report.step)
        none_recorded = np.zeros(self._shape.layers, dtype=np.bool_)
        recorded = self._recorded_layers.setdefault(key, none_recorded)
        is_new = ~recorded[report.layers]
        recorded[report.layers] = True
        return is_new


class _ShareEstimate(NamedTuple):
    shares: NDArray[np.float64]
    variances: NDArray[np.float64]


def _estimate_shares(sums: _DecayedSums) -> _ShareEstimate:
    shares = sums.shares()
    return _ShareEstimate(shares, sums.variances(shares))


def _shrink_to_slow(
    slow: _ShareEstimate, recent: _ShareEstimate
) -> _ShareEstimate:
    """Move the slow shares towards the recent ones as far as they drifted.

    The distance between the two in each layer is compared with the distance
    that noise alone explains, and the recent shares are shrunk towards the slow
    ones by the positive-part rule of W. James and C. Stein, "Estimation with
    quadratic loss", 4th Berkeley Symposium, 1961. The variance is an upper
    bound, since both come from the same reports.
    """
    distance = ((recent.shares - slow.shares) ** 2).sum(axis=1, keepdims=True)
    noise = recent.variances.sum(axis=1, keepdims=True)
    ratio = np.divide(
        noise,
        distance,
        out=np.ones_like(distance),
        where=distance > noise,
    )
    weight = 1 - ratio
    shares = slow.shares + weight * (recent.shares - slow.shares)
    variances = slow.variances + weight * (recent.variances - slow.variances)
    return _ShareEstimate(shares, variances)


def _find_fault(shape: GroupShape, report: ExpertReport) -> str:
    layers = report.layers
    if not 0 <= report.rank < shape.ranks or report.step < 0:
        return f'rank {report.rank} or step {report.step} out of range'
    expected = (len(layers), shape.experts)
    if report.counts.shape != expected:
        return f'counts have shape {report.counts.shape}, not {expected}'
    if len(np.unique(layers)) != len(layers):
        return f'layers are not distinct: {layers.tolist()}'
    if ((layers < 0) | (layers >= shape.layers)).any():
        return f'layers out of range: {layers.tolist()}, of {shape.layers}'
    return 'negative count' if (report.counts < 0).any() else ''


class _DecayedSums:
    """Decayed sums of counts and of layer totals.

    Besides the sums themselves it keeps the sums of squares and products, with
    squared weights, which the variances are computed from.
    """

    def __init__(self, shape: GroupShape, half_life_steps: float) -> None:
        axes = (shape.layers, shape.experts)
        self._half_life = half_life_steps
        self._counts = np.zeros(axes)
        self._totals = np.zeros((shape.layers, 1))
        self._counts_squared = np.zeros(axes)
        self._counts_by_total = np.zeros(axes)
        self._totals_squared = np.zeros((shape.layers, 1))
        self._totals_by_weight = np.zeros((shape.layers, 1))

    def decay(self, steps: int) -> None:
        """Decay all sums by a number of steps."""
        factor = self._weight(steps)
        self._counts *= factor
        self._totals *= factor
        self._counts_squared *= factor * factor
        self._counts_by_total *= factor * factor
        self._totals_squared *= factor * factor
        self._totals_by_weight *= factor * factor

    def add(
        self,
        layers: NDArray[np.int64],
        counts: NDArray[np.int64],
        age: int,
    ) -> None:
        """Add a report's rows, of distinct layers, at the given age."""
        weight = self._weight(age)
        totals = counts.sum(axis=1, keepdims=True)
        weighted = counts * weight
        weighted_totals = totals * weight
        self._counts[layers] += weighted
        self._totals[layers] += weighted_totals
        self._counts_squared[layers] += weighted * weighted
        self._counts_by_total[layers] += weighted * weighted_totals
        self._totals_squared[layers] += weighted_totals * weighted_totals
        self._totals_by_weight[layers] += weighted_totals * weight

    def shares(self) -> NDArray[np.float64]:
        """Return the shares of the experts; equal shares without reports."""
        even = np.full_like(self._counts, 1 / self._counts.shape[1])
        known = self._totals > 0
        return np.divide(self._counts, self._totals, out=even, where=known)

    def variances(self, shares: NDArray[np.float64]) -> NDArray[np.float64]:
        """Return the variance of each share.

        The scatter between reports gives the variance of a ratio of sums (W. G.
        Cochran, "Sampling techniques", 3rd ed., section 6.4), which accounts
        for tokens whose choices are correlated. The variance of independent
        tokens is the lower bound.
        """
        scatter = (
            self._counts_squared
            - 2 * shares * self._counts_by_total
            + shares * shares * self._totals_squared
        )
        independent = shares * (1 - shares) * self._totals_by_weight
        unknown = np.ones_like(shares)
        return np.divide(
            np.maximum(scatter, independent),
            self._totals * self._totals,
            out=unknown,
            where=self._totals > 0,
        )

    def _weight(self, age: float) -> float:
        return float(0.5 ** (age / self._half_life))
