"""Quality and cost of a search for one change of a large group's map.

Skews and loads are exact, and so is the number of ranks that a search evaluates
for the steps from one hot rank: evaluating all of them was what made it slow.
Time is given as a multiple of adding up the loads of all ranks of a layer (a
scan), once for each expert that the search has loaded. It has no bound: next to
busy processes the same search took 8 to 14 such scans.
"""

from __future__ import annotations

import math
import sys
import time
from statistics import fmean
from typing import TYPE_CHECKING, NamedTuple
from unittest import mock

import numpy as np

from snipebend.experts.layer_state import layer_skew
from snipebend.experts.map_search import ChangeLimits, MapSearch
from snipebend.experts.sizes import ExpertSizes, initial_map

if TYPE_CHECKING:
    from numpy.typing import NDArray

    from snipebend.experts.layer_state import LayerMap

#: Ranks, layers and experts of the largest known group and of the target size.
GROUPS = ((192, 10, 384), (256, 60, 256))
SLOTS = 3
MAX_NEW = 2
#: Largest number of experts that one rank fetches in one change, over all
#: layers.
MAX_FETCHES = 46
SEED = 1
#: Standard deviation of the logarithm of the experts' loads: the hottest rank
#: of the initial map has 6 to 10 times the mean load.
LOAD_SIGMA = 0.9

#: Number of timed runs, of which the shortest counts, and of scans in each run.
RUNS = 3
SCANS = 500


class SearchResult(NamedTuple):
    """Result of a search for one change of a map."""

    skew: float
    loads: int
    #: Mean number of ranks evaluated for the steps from one hot rank.
    ranks_weighed: float
    #: Time of the search in scans; see the module's description.
    scans: float


def search_change(ranks: int, layers: int, experts: int) -> SearchResult:
    """Search for a change of the initial map of a group."""
    rng = np.random.default_rng(SEED)
    weights = rng.lognormal(0, LOAD_SIGMA, (layers, experts))
    shares = weights / weights.sum(axis=1, keepdims=True)
    loads = (shares * ranks).tolist()
    before = initial_map(ExpertSizes(layers, experts, SLOTS, MAX_NEW, 1), ranks)
    limits = ChangeLimits(SLOTS, MAX_NEW, max_fetches=MAX_FETCHES)
    after: tuple[LayerMap, ...] = ()
    took_s = math.inf
    for _ in range(RUNS):
        search = MapSearch(before, loads, limits)
        began = time.process_time()
        after = search.run()
        took_s = min(took_s, time.process_time() - began)
    fetched = _count_fetches(before, after)
    skews = map(layer_skew, after, loads)
    scan_s = fetched * _time_scan(rng.random((ranks, experts)), weights[0])
    weighed = _count_ranks_weighed(MapSearch(before, loads, limits))
    return SearchResult(fmean(skews), fetched, weighed, took_s / scan_s)


def measure() -> dict[str, float]:
    """Return the figures of each group."""
    figures: dict[str, float] = {}
    for ranks, layers, experts in GROUPS:
        result = search_change(ranks, layers, experts)
        figures[f'skew_{ranks}'] = result.skew
        figures[f'loads_{ranks}'] = result.loads
        figures[f'ranks_weighed_{ranks}'] = result.ranks_weighed
        figures[f'scans_{ranks}'] = result.scans
    return figures


def _count_ranks_weighed(search: MapSearch) -> float:
    """Run a search; return the mean number of ranks evaluated for a step."""
    counted: list[int] = []

    def norm_terms(heat: NDArray[np.float64]) -> NDArray[np.float64]:
        # The heat of all ranks has one axis, that of the candidate steps more.
        if heat.ndim > 1:
            counted.append(heat.shape[-1])
        return heat**8

    with mock.patch('snipebend.experts.step_options._norm_terms', norm_terms):
        search.run()
    return fmean(counted)


def _time_scan(
    samples: NDArray[np.float64], loads: NDArray[np.float64]
) -> float:
    """Return the seconds to add up the loads of all ranks once."""
    held = samples < SLOTS / len(loads)
    least_s = math.inf
    for _ in range(RUNS):
        began = time.process_time()
        for _ in range(SCANS):
            held @ loads
        least_s = min(least_s, time.process_time() - began)
    return least_s / SCANS


def _count_fetches(
    before: tuple[LayerMap, ...], after: tuple[LayerMap, ...]
) -> int:
    return sum(
        len(set(new) - set(old))
        for old_layer, new_layer in zip(before, after, strict=True)
        for old, new in zip(old_layer, new_layer, strict=True)
    )


if __name__ == '__main__':
    for figure, value in measure().items():
        sys.stdout.write(f'{figure} = {value:.4g}\n')
