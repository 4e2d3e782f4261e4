"""Demand for experts that turns, and what a search makes of it."""

from __future__ import annotations

import random
from statistics import fmean
from typing import NamedTuple

from snipebend.experts.layer_state import layer_skew

#: Changes of map that answer one turn.
CHANGES = 2


class Size(NamedTuple):
    """A group, and how unevenly its experts are liked."""

    ranks: int
    layers: int
    experts: int
    places: int
    exponent: float
    spare: int = 2
    most_fetched: int = 3


class Answers(NamedTuple):
    """Means over turns: skew before, after each change; loads of a turn."""

    skews: tuple[float, ...]
    loads: float


def answer_turns(size, search, turns):
    """Play turns; ``search`` takes layers and loads, and returns layers."""
    rng = random.Random(3)
    loads = [_zipf(rng, size) for _ in range(size.layers)]
    layer = tuple(
        tuple(range(rank, size.experts, size.ranks))
        for rank in range(size.ranks)
    )
    layers = (layer,) * size.layers
    skews = []
    fetched = []
    for _ in range(turns):
        seen = [_skew(layers, loads)]
        fetched.append(0)
        for _ in range(CHANGES):
            before = layers
            layers = search(before, loads)
            seen.append(_skew(layers, loads))
            fetched[-1] += _loads(before, layers)
        skews.append(seen)
        loads = [_turn(rng, layer_loads) for layer_loads in loads]
    means = (fmean(column) for column in zip(*skews, strict=True))
    return Answers(tuple(means), fmean(fetched))


def _zipf(rng, size):
    weights = [1 / place**size.exponent for place in range(1, size.experts + 1)]
    rng.shuffle(weights)
    return [size.ranks * weight / sum(weights) for weight in weights]


def _turn(rng, loads):
    """Exchange the loads of one half of the experts."""
    places = rng.sample(range(len(loads)), len(loads) // 2)
    moved = [loads[place] for place in places]
    rng.shuffle(moved)
    turned = list(loads)
    for place, load in zip(places, moved, strict=True):
        turned[place] = load
    return turned


def _skew(layers, loads):
    return fmean(map(layer_skew, layers, loads))


def _loads(before, after):
    return sum(
        len(set(new) - set(old))
        for old_layer, new_layer in zip(before, after, strict=True)
        for old, new in zip(old_layer, new_layer, strict=True)
    )
