"""Step skew: the load of the slowest rank over the mean of all ranks.

Loads are relative: the loads of one layer's experts add up to the number of
ranks, so that a rank's mean load is one and the hottest rank's load is the skew
of that layer. Ranks synchronise at each layer's exchange, so a step takes the
sum of the slowest ranks' times over all layers, and the skew of a step is the
mean over layers. Tokens of an expert are split equally over its replicas.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import numpy as np

from snipebend.experts.model import count_replicas

if TYPE_CHECKING:
    from numpy.typing import NDArray


def relative_loads(
    shares: NDArray[np.float64],
    ranks: int,
) -> NDArray[np.float64]:
    """Scale each layer's shares (layers by experts) to a mean rank load of 1.

    A layer without tokens is treated as evenly loaded.
    """
    totals = shares.sum(axis=1, keepdims=True)
    even = np.full_like(shares, 1 / shares.shape[1])
    np.divide(shares, totals, out=even, where=totals > 0)
    return np.multiply(even, ranks)


def slot_loads(
    placement: NDArray[np.int16],
    loads: NDArray[np.float64],
) -> NDArray[np.float64]:
    """Return each slot's load, with the axes of the placement."""
    layers = placement.shape[0]
    replicas = np.maximum(count_replicas(placement, loads.shape[1]), 1)
    per_replica = loads / replicas
    flat = np.take_along_axis(
        per_replica,
        placement.reshape(layers, -1).astype(np.int64),
        axis=1,
    )
    return flat.reshape(placement.shape)


def rank_loads(
    placement: NDArray[np.int16],
    loads: NDArray[np.float64],
) -> NDArray[np.float64]:
    """Return each rank's load, layers by ranks."""
    sums: NDArray[np.float64] = slot_loads(placement, loads).sum(axis=2)
    return sums


def layer_skews(
    placement: NDArray[np.int16],
    loads: NDArray[np.float64],
) -> NDArray[np.float64]:
    """Return the hottest rank's relative load in each layer."""
    skews: NDArray[np.float64] = rank_loads(placement, loads).max(axis=1)
    return skews


def step_skew(
    placement: NDArray[np.int16],
    loads: NDArray[np.float64],
) -> float:
    """Return the skew of a step: the mean of its layers' skews."""
    return float(layer_skews(placement, loads).mean())
