"""Expected skew of a map when demand is known from counts only; no I/O.

The skew under the counted shares is too optimistic for a map that was made from
them. So the skew is averaged over random samples of demand that are consistent
with the counts.
"""

from __future__ import annotations

from collections import Counter
from itertools import chain
from typing import TYPE_CHECKING

import numpy as np

if TYPE_CHECKING:
    from collections.abc import Sequence

    from numpy.typing import NDArray

    from snipebend.experts.layer_state import LayerMap

#: Number of samples of demand: their mean skew varies by less than 0.01.
SAMPLES = 16

#: Seed of the samples, so that the same counts always give the same result.
_SEED = 1

#: Added to the choices of each expert, since an expert that wasn't chosen yet
#: may still be in demand.
_PRIOR_CHOICES = 0.5


def expected_skew(
    layers: Sequence[LayerMap],
    choices: NDArray[np.float64],
    slowness: Sequence[float] = (),
) -> float:
    """Return the mean skew of a map over its layers.

    ``choices`` are by layer and expert; ``slowness`` gives how many times as
    long each rank takes for its work. The mean load of a rank is 1. Two maps
    that are evaluated with the same choices are compared on the same samples.
    """
    rng = np.random.default_rng(_SEED)
    skews = [
        _layer_skew(layer, counts, slowness, rng)
        for layer, counts in zip(layers, choices, strict=True)
    ]
    return float(np.mean(skews))


def _layer_skew(
    layer: LayerMap,
    counts: NDArray[np.float64],
    slowness: Sequence[float],
    rng: np.random.Generator,
) -> float:
    samples = rng.gamma(counts + _PRIOR_CHOICES, size=(SAMPLES, len(counts)))
    shares = samples / samples.sum(axis=1, keepdims=True)
    heat = len(layer) * _load_shares(layer, len(counts)) @ shares.T
    if slowness:
        heat = np.array(slowness)[:, np.newaxis] * heat
    return float(heat.max(axis=0).mean())


def _load_shares(layer: LayerMap, experts: int) -> NDArray[np.float64]:
    """Return each rank's share of each expert's load."""
    copies = Counter(chain.from_iterable(layer))
    parts = np.zeros((len(layer), experts))
    for rank, held in enumerate(layer):
        for expert in held:
            parts[rank, expert] = 1 / copies[expert]
    return parts
