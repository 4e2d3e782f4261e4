"""Significance of gains in skew, given the noise of the load estimate."""

from __future__ import annotations

from typing import TYPE_CHECKING

import numpy as np

from snipebend.experts.model import count_replicas
from snipebend.experts.skew import layer_skews, rank_loads, relative_loads

if TYPE_CHECKING:
    from numpy.typing import NDArray

    from snipebend.experts.estimate import LoadEstimate


def significant_gains(
    before: NDArray[np.int16],
    after: NDArray[np.int16],
    estimate: LoadEstimate,
    limits: NDArray[np.float64],
) -> NDArray[np.float64]:
    """Return each layer's gain in skew; 0 where it may be noise.

    A gain must exceed its layer's entry of ``limits`` in standard deviations (a
    one-sided z-test). Its variance follows from the variances of the experts'
    shares by the delta method (L. Wasserman, "All of statistics", section 9.9):
    near the estimate, a layer's skew is the sum of the shares on its hottest
    rank. Both skews are treated as independent: where the hottest rank stays
    the same, noise would cancel out only until another rank is the hottest.
    """
    ranks = before.shape[1]
    loads = relative_loads(estimate.shares, ranks)
    gains = layer_skews(before, loads) - layer_skews(after, loads)
    slopes = _skew_slopes(before, loads) ** 2 + _skew_slopes(after, loads) ** 2
    variances = (slopes * estimate.variances).sum(axis=1)
    deviations = np.sqrt(variances) * ranks
    return np.where(gains > limits * deviations, gains, 0)


def _skew_slopes(
    placement: NDArray[np.int16],
    loads: NDArray[np.float64],
) -> NDArray[np.float64]:
    """Return the derivative of a layer's skew by each expert's load."""
    layers = np.arange(len(loads))
    hottest = rank_loads(placement, loads).argmax(axis=1)
    held = placement[layers, hottest].astype(np.int64)
    slopes = np.zeros_like(loads)
    replicas = count_replicas(placement, loads.shape[1])
    inverse = np.take_along_axis(1 / replicas, held, axis=1)
    np.put_along_axis(slopes, held, inverse, axis=1)
    return slopes
