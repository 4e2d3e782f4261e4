"""Detection of drift in expert popularity, layer by layer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import numpy as np

if TYPE_CHECKING:
    from numpy.typing import NDArray

    from snipebend.experts.estimate import LoadEstimate

#: Variance of the shares of a layer without reports.
_UNKNOWN_VARIANCE = 1


class DriftDetector:
    """Compares each layer with the shares that its placement was made for.

    The statistic is Pearson's: squared differences over their variances, summed
    over experts (E. L. Lehmann, J. P. Romano, "Testing statistical hypotheses",
    3rd ed., section 14.3). Without drift, its mean is the number of experts e
    and its variance 2e; ``limit`` is the number of standard deviations above
    the mean that count as drift.
    """

    def __init__(self, limit: float) -> None:
        """Create a detector; the first estimate becomes its reference."""
        self._limit = limit
        self._shares: NDArray[np.float64] | None = None
        self._variances: NDArray[np.float64] | None = None

    def find_drifted_layers(self, estimate: LoadEstimate) -> NDArray[np.bool_]:
        """Return a mask of the layers that drifted since their reference.

        Layers that are reported for the first time get the estimate as their
        reference.
        """
        if self._shares is None or self._variances is None:
            self._shares = estimate.shares.copy()
            self._variances = estimate.variances.copy()
        unknown = np.equal(self._variances.min(axis=1), _UNKNOWN_VARIANCE)
        self.rebase(unknown, estimate)
        squares = (estimate.shares - self._shares) ** 2
        spread = estimate.variances + self._variances
        terms = np.divide(
            squares,
            spread,
            out=np.zeros_like(squares),
            where=spread > 0,
        )
        experts = squares.shape[1]
        excess = terms.sum(axis=1) - experts
        drifted: NDArray[np.bool_] = excess > self._limit * np.sqrt(2 * experts)
        return drifted

    def rebase(
        self,
        layers: NDArray[np.bool_],
        estimate: LoadEstimate,
    ) -> None:
        """Make the estimate the reference of the given layers."""
        if self._shares is None or self._variances is None:
            return
        self._shares[layers] = estimate.shares[layers]
        self._variances[layers] = estimate.variances[layers]
