"""Shifting demand for experts, to measure the maps that a search finds."""

from __future__ import annotations

import random
from statistics import fmean
from typing import NamedTuple

from snipebend.experts.layer_state import layer_skew

#: Map changes that respond to one demand shift.
CHANGES_PER_SHIFT = 2


class Size(NamedTuple):
    """The dimensions of a group and the exponent of its expert demand."""

    ranks: int
    layers: int
    experts: int
    places: int
    exponent: float
    spare: int = 2
    max_fetches: int = 3


class ShiftResult(NamedTuple):
    """Means over shifts: skews before and after each change, and fetches."""

    skews: tuple[float, ...]
    loads: float


def simulate_shifts(size, search, shifts):
    """Simulate shifts; ``search`` maps layers and loads to new layers."""
    rng = random.Random(3)
    loads = [zipf_loads(rng, size) for _ in range(size.layers)]
    layer = tuple(
        tuple(range(rank, size.experts, size.ranks))
        for rank in range(size.ranks)
    )
    layers = (layer,) * size.layers
    skews = []
    fetched = []
    for _ in range(shifts):
        layer_skews = [_skew(layers, loads)]
        fetched.append(0)
        for _ in range(CHANGES_PER_SHIFT):
            before = layers
            layers = search(before, loads)
            layer_skews.append(_skew(layers, loads))
            fetched[-1] += _count_fetches(before, layers)
        skews.append(layer_skews)
        loads = [_shift_demand(rng, layer_loads) for layer_loads in loads]
    means = (fmean(column) for column in zip(*skews, strict=True))
    return ShiftResult(tuple(means), fmean(fetched))


def zipf_loads(rng, size):
    """Return the loads of a layer's experts; the mean of a rank is 1."""
    weights = [1 / place**size.exponent for place in range(1, size.experts + 1)]
    rng.shuffle(weights)
    return [size.ranks * weight / sum(weights) for weight in weights]


def _shift_demand(rng, loads):
    """Exchange the loads of half of the experts."""
    places = rng.sample(range(len(loads)), len(loads) // 2)
    moved = [loads[place] for place in places]
    rng.shuffle(moved)
    shifted = list(loads)
    for place, load in zip(places, moved, strict=True):
        shifted[place] = load
    return shifted


def _skew(layers, loads):
    return fmean(map(layer_skew, layers, loads))


def _count_fetches(before, after):
    return sum(
        len(set(new) - set(old))
        for old_layer, new_layer in zip(before, after, strict=True)
        for old, new in zip(old_layer, new_layer, strict=True)
    )
