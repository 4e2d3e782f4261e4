"""The skew that a map is to expect where the demand is known by counts (pure).

The skew of the counted shares flatters a map that was made from them. So a map
is weighed over demands that fit the counts as well.
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

#: Demands drawn for one answer: their mean skew varies by less than 0.01.
DRAWS = 16

#: Of the draws, so that the same counts always give the same answer.
_SEED = 1

#: Added to the choices of each expert: one that nobody chose yet may be.
_UNSEEN = 0.5


def expected_skew(
    layers: Sequence[LayerMap],
    chosen: NDArray[np.float64],
    slowness: Sequence[float] = (),
) -> float:
    """Return the mean skew of a map over its layers.

    ``chosen`` are choices by layer and expert; a rank works as many times as
    long as ``slowness`` tells. The mean load of a rank is 1. Two maps that are
    weighed by the same choices meet the same demands.
    """
    rng = np.random.default_rng(_SEED)
    skews = [
        _layer_skew(layer, counts, slowness, rng)
        for layer, counts in zip(layers, chosen, strict=True)
    ]
    return float(np.mean(skews))


def _layer_skew(
    layer: LayerMap,
    counts: NDArray[np.float64],
    slowness: Sequence[float],
    rng: np.random.Generator,
) -> float:
    drawn = rng.gamma(counts + _UNSEEN, size=(DRAWS, len(counts)))
    shares = drawn / drawn.sum(axis=1, keepdims=True)
    heat = len(layer) * _parts(layer, len(counts)) @ shares.T
    if slowness:
        heat = np.array(slowness)[:, np.newaxis] * heat
    return float(heat.max(axis=0).mean())


def _parts(layer: LayerMap, experts: int) -> NDArray[np.float64]:
    """Return the part that each rank has of each expert's load."""
    copies = Counter(chain.from_iterable(layer))
    parts = np.zeros((len(layer), experts))
    for rank, held in enumerate(layer):
        for expert in held:
            parts[rank, expert] = 1 / copies[expert]
    return parts
