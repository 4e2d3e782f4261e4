"""Experts' load, estimated from the ranks' late and gappy reports.

Each rank counts which experts the tokens that start on it chose, so any
subset of ranks is a fair sample of the group's traffic: missing ranks and
layers widen the variance and bias nothing. Reports are weighted by the age of
their step (forward decay: G. Cormode, V. Shkapenyuk, D. Srivastava, B. Xu,
"Forward decay: a practical time decay model for streaming systems", ICDE
2009), so the estimate does not depend on the order in which they come.
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

#: Reports older than this many half-lives weigh under 1/256 and are dropped.
_OLDEST_HALF_LIVES = 8
#: The recent mean forgets this many times faster than the estimate, and the
#: long run's this many times slower.
_RECENT_FACTOR = 4
_LONG_FACTOR = 32


class ExpertReport(NamedTuple):
    """Choices that one rank's tokens made since its last report.

    ``step`` stamps the last step counted. ``counts`` has one row for each
    entry of ``layers``; layers that are missing were not counted.
    """

    rank: int
    step: int
    layers: NDArray[np.int64]
    counts: NDArray[np.int64]


class LoadEstimate(NamedTuple):
    """Each expert's share of its layer's tokens, with variances.

    ``shares``, ``variances`` and ``recent`` are layers by experts; ``recent``
    holds the shares over a shorter span, the ``long`` ones those over a
    longer one, ``step`` is the newest step heard of (-1: none). Layers
    without a report are even, with variance 1.
    """

    shares: NDArray[np.float64]
    variances: NDArray[np.float64]
    recent: NDArray[np.float64]
    long_shares: NDArray[np.float64]
    long_variances: NDArray[np.float64]
    step: int

    def long_run(self) -> LoadEstimate:
        """Return the same with the long run's shares and variances."""
        return self._replace(
            shares=self.long_shares,
            variances=self.long_variances,
        )


class LoadEstimator:
    """Collects the reports of one incarnation of a group."""

    def __init__(self, shape: GroupShape, half_life_steps: float) -> None:
        """Start without reports; weights halve every ``half_life_steps``."""
        self._shape = shape
        self._oldest = _OLDEST_HALF_LIVES * half_life_steps
        self._slow = _DecayedSums(shape, half_life_steps)
        self._recent = _DecayedSums(shape, half_life_steps / _RECENT_FACTOR)
        self._long = _DecayedSums(shape, half_life_steps * _LONG_FACTOR)
        self._seen: dict[tuple[int, int], NDArray[np.bool_]] = {}
        self._step = -1

    def record(self, report: ExpertReport) -> Result[bool, InvalidInputError]:
        """Take a report in; ``Ok(False)`` if it is too old or a duplicate.

        Layers heard before for the same rank and step are passed over.
        """
        fault = _find_fault(self._shape, report)
        if fault:
            return Err(InvalidInputError(fault, step='record expert load'))
        self._advance(report.step)
        if report.step < self._step - self._oldest:
            return Ok(False)
        fresh = self._take_unseen(report)
        age = self._step - report.step
        for sums in (self._slow, self._recent, self._long):
            sums.add(report.layers[fresh], report.counts[fresh], age)
        return Ok(bool(fresh.any()))

    def estimate(self) -> LoadEstimate:
        """Return the estimate as of the newest step."""
        slow = _measure(self._slow)
        recent = _measure(self._recent)
        blend = _blend(slow, recent)
        return LoadEstimate(
            blend.shares,
            blend.variances,
            recent.shares,
            *_measure(self._long),
            self._step,
        )

    def _advance(self, step: int) -> None:
        if step <= self._step:
            return
        elapsed = step - self._step if self._step >= 0 else 0
        for sums in (self._slow, self._recent, self._long):
            sums.decay(elapsed)
        self._step = step
        oldest = step - self._oldest
        self._seen = {
            key: layers
            for key, layers in self._seen.items()
            if key[1] >= oldest
        }

    def _take_unseen(self, report: ExpertReport) -> NDArray[np.bool_]:
        key = (report.rank, report.step)
        unseen = np.zeros(self._shape.layers, dtype=np.bool_)
        seen = self._seen.setdefault(key, unseen)
        fresh = ~seen[report.layers]
        seen[report.layers] = True
        return fresh


class _Measured(NamedTuple):
    shares: NDArray[np.float64]
    variances: NDArray[np.float64]


def _measure(sums: _DecayedSums) -> _Measured:
    shares = sums.shares()
    return _Measured(shares, sums.variances(shares))


def _blend(slow: _Measured, recent: _Measured) -> _Measured:
    """Follow the recent shares as far as drift, not noise, moved them.

    Each layer's distance between the two is compared with what noise alone
    makes of it, and the recent shares are shrunk towards the slow ones by the
    positive-part rule of W. James and C. Stein, "Estimation with quadratic
    loss", 4th Berkeley Symposium, 1961. The variance is an upper bound, for
    both come from the same reports.
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
    return _Measured(shares, variances)


def _find_fault(shape: GroupShape, report: ExpertReport) -> str:
    layers = report.layers
    if not 0 <= report.rank < shape.ranks or report.step < 0:
        return 'unknown rank or step'
    if report.counts.shape != (len(layers), shape.experts):
        return 'counts do not fit layers and experts'
    if len(np.unique(layers)) != len(layers):
        return 'layer twice in one report'
    if ((layers < 0) | (layers >= shape.layers)).any():
        return 'unknown layer'
    return 'negative count' if (report.counts < 0).any() else ''


class _DecayedSums:
    """Weighted sums of counts c and totals t, with the squares' weights."""

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
        """Let all weights age by some steps."""
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
        """Add one report's rows of distinct layers at the given age."""
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
        """Return the experts' shares; even where nothing was reported."""
        even = np.full_like(self._counts, 1 / self._counts.shape[1])
        known = self._totals > 0
        return np.divide(self._counts, self._totals, out=even, where=known)

    def variances(self, shares: NDArray[np.float64]) -> NDArray[np.float64]:
        """Return the variance of each share.

        The scatter between reports gives that of a ratio of sums (W. G.
        Cochran, "Sampling techniques", 3rd ed., section 6.4), which sees
        tokens that choose alike; independent tokens give the least.
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
