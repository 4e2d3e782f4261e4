"""Detects placements that lose experts or load more than the budget.

A search is cut off after any number of changes to stay within a budget. Each
prefix must be a valid map, with the skew that was predicted for it, and a small
drift must not cause as many loads as a placement from scratch.
"""

from __future__ import annotations

import unittest

import numpy as np
from hypothesis import given, settings
from hypothesis import strategies as st

from snipebend.errors.hierarchy import InvalidInputError
from snipebend.experts.model import ExpertMap, GroupShape, check_map
from snipebend.experts.moves import align_slots, choose_rounds, replay
from snipebend.experts.placement import place_from_scratch
from snipebend.experts.search import SearchLimits, search
from snipebend.experts.skew import layer_skews, relative_loads, step_skew
from tests.experts.loads import SHAPE, zipf_shares


@st.composite
def _placement_cases(draw: st.DrawFn) -> tuple[GroupShape, np.ndarray]:
    ranks = draw(st.integers(1, 7))
    slots = draw(st.integers(1, 5))
    experts = draw(st.integers(slots, ranks * slots))
    layers = draw(st.integers(1, 3))
    shape = GroupShape(ranks, experts, layers, slots, 1)
    rng = np.random.default_rng(draw(st.integers(0, 10_000)))
    power = draw(st.sampled_from((0, 1, 4, 30)))
    shares = rng.random((layers, experts)) ** power
    return shape, relative_loads(shares, ranks)


class PlacementTest(unittest.TestCase):
    """Maps for random shapes and loads, and for skewed and drifted loads."""

    @given(_placement_cases())
    @settings(derandomize=True, deadline=None, max_examples=200)
    def test_maps_from_scratch_are_valid(self, case) -> None:
        shape, loads = case
        check_map(shape, place_from_scratch(shape, loads, 1)).unwrap()

    @given(_placement_cases(), st.integers(0, 40))
    @settings(derandomize=True, deadline=None, max_examples=200)
    def test_each_prefix_of_a_search_is_valid_and_in_budget(
        self,
        case,
        max_loads,
    ) -> None:
        shape, loads = case
        start = place_from_scratch(shape, loads[:, ::-1], 1)
        trace = search(start.placement, loads, SearchLimits(0, 30))
        rounds = choose_rounds(trace, 0, max_loads)
        after = replay(start.placement, trace, rounds)
        check_map(shape, ExpertMap(2, after)).unwrap()
        self.assertLessEqual((after != start.placement).sum(), max_loads)
        rows = np.arange(shape.layers)
        skews = layer_skews(after, loads)
        np.testing.assert_allclose(skews, trace.skews[rounds, rows])
        self.assertTrue((skews <= trace.skews[0] + 1e-9).all())

    def test_placement_from_scratch_replicates_overloaded_experts(self) -> None:
        loads = relative_loads(zipf_shares(SHAPE, 1), SHAPE.ranks)
        placed = place_from_scratch(SHAPE, loads, 1)
        self.assertGreater(loads.max(), 2)
        self.assertLess(step_skew(placed.placement, loads), 1.1)

    def test_search_needs_few_loads_after_a_small_drift(self) -> None:
        shares = zipf_shares(SHAPE, 1)
        drifted = shares * 0.9 + zipf_shares(SHAPE, 2) * 0.1
        before = relative_loads(shares, SHAPE.ranks)
        loads = relative_loads(drifted, SHAPE.ranks)
        start = place_from_scratch(SHAPE, before, 1)
        trace = search(start.placement, loads, SearchLimits(0, 50))
        rounds = choose_rounds(trace, 0.01, 1000)
        after = replay(start.placement, trace, rounds)
        scratch = place_from_scratch(SHAPE, loads, 2).placement
        scratch_aligned = align_slots(start.placement, scratch)
        self.assertLess(step_skew(after, loads), 1.08)
        self.assertGreater(step_skew(start.placement, loads), 1.1)
        loaded = (after != start.placement).sum()
        self.assertLess(loaded, (scratch_aligned != start.placement).sum() / 2)

    def test_impossible_shapes_are_refused(self) -> None:
        for slots in (2, 25):
            shape = SHAPE._replace(slots=slots)
            with self.assertRaises(InvalidInputError):
                place_from_scratch(shape, np.ones((3, 24)), 1)
