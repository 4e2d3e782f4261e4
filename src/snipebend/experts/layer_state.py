"""Map of one layer, and the skew of its load; no I/O."""

from __future__ import annotations

from collections import Counter
from itertools import chain
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

#: The experts that each rank holds in one layer.
LayerMap = tuple[tuple[int, ...], ...]


def layer_skew(
    layer: LayerMap, loads: Sequence[float], slowness: Sequence[float] = ()
) -> float:
    """Return the load of the hottest rank; the mean load is 1.

    Replicas of an expert share its load evenly. ``slowness`` gives by rank how
    many times as long it takes for its work; its load is multiplied by it.
    """
    copies = Counter(chain.from_iterable(layer))
    rank_loads = [
        sum(loads[one] / copies[one] for one in held) for held in layer
    ]
    weighted = zip(slowness or (1,) * len(rank_loads), rank_loads, strict=True)
    return max(factor * load for factor, load in weighted)
