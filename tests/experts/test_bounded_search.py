"""A better map within the bounds of one change."""

from __future__ import annotations

import random
import unittest

from snipebend.experts.bounded_search import Bounds, LayerSearch
from snipebend.experts.layer_state import LayerState, LayerStep, layer_skew

RANKS = 16
EXPERTS = 64
BOUNDS = Bounds(places=5, spare=2)
IN_TURN = tuple(tuple(range(rank, EXPERTS, RANKS)) for rank in range(RANKS))


def zipf_loads(rng):
    weights = [1 / (place + 1) ** 1.1 for place in range(EXPERTS)]
    rng.shuffle(weights)
    return [RANKS * weight / sum(weights) for weight in weights]


class TestSearch(unittest.TestCase):
    """Bounds are kept, and skew falls."""

    def test_every_map_of_a_long_run_is_valid(self):
        rng = random.Random(7)
        layer = IN_TURN
        for turn in range(40):
            loads = zipf_loads(rng)
            search = LayerSearch(layer, loads, BOUNDS)
            before = layer_skew(layer, loads)
            better = search.run()
            with self.subTest(turn=turn):
                self._check(layer, better)
                self.assertLessEqual(layer_skew(better, loads), before)
                self.assertAlmostEqual(search.skew, layer_skew(better, loads))
            layer = better

    def test_skew_of_a_fresh_group_falls_at_once(self):
        rng = random.Random(1)
        for _ in range(10):
            loads = zipf_loads(rng)
            better = LayerSearch(IN_TURN, loads, BOUNDS).run()
            self.assertGreater(layer_skew(IN_TURN, loads), 3)
            self.assertLess(layer_skew(better, loads), 1.35)

    def test_even_demand_changes_nothing(self):
        even = [RANKS / EXPERTS for _ in range(EXPERTS)]
        self.assertEqual(LayerSearch(IN_TURN, even, BOUNDS).run(), IN_TURN)

    def test_busy_ranks_are_spared(self):
        loads = zipf_loads(random.Random(5))
        busy = [10 if rank < RANKS // 2 else 0 for rank in range(RANKS)]
        free = LayerSearch(IN_TURN, loads, BOUNDS).run()
        spared = LayerSearch(IN_TURN, loads, BOUNDS, busy).run()
        self.assertLess(self._loads(spared), self._loads(free))

    def test_no_rank_fetches_more_than_one_change_may(self):
        loads = zipf_loads(random.Random(5))
        bounds = BOUNDS._replace(most_fetched=3)
        fetching = [rank % 4 for rank in range(RANKS)]
        better = LayerSearch(IN_TURN, loads, bounds, fetching).run()
        for rank in range(RANKS):
            new = len(set(better[rank]) - set(IN_TURN[rank]))
            with self.subTest(rank=rank):
                self.assertLessEqual(fetching[rank] + new, 3)

    def test_a_slow_rank_gives_its_work_away(self):
        loads = zipf_loads(random.Random(6))
        paces = [5 if rank == 3 else 1 for rank in range(RANKS)]
        layer = IN_TURN
        for _ in range(3):
            layer = LayerSearch(layer, loads, BOUNDS, paces=paces).run()
        self.assertLess(layer_skew(layer, loads, paces), 1.6)
        self.assertGreater(layer_skew(IN_TURN, loads, paces), 3)

    def _loads(self, better):
        """Return the loads of the first half of the ranks."""
        pairs = list(zip(IN_TURN, better, strict=True))[: RANKS // 2]
        return sum(len(set(new) - set(old)) for old, new in pairs)

    def _check(self, before, after):
        held = [expert for rank in after for expert in rank]
        self.assertEqual(set(held), set(range(EXPERTS)))
        for old, new in zip(before, after, strict=True):
            self.assertLessEqual(len(new), BOUNDS.places)
            self.assertEqual(len(new), len(set(new)))
            self.assertLessEqual(len(set(new) - set(old)), BOUNDS.spare)


class TestLayerState(unittest.TestCase):
    """Loads follow the steps."""

    def test_changes_are_what_apply_does(self):
        loads = zipf_loads(random.Random(2))
        steps = (
            LayerStep(0, 0, 1, None, 'copy'),
            LayerStep(0, 16, 2, None, 'move'),
            LayerStep(0, 32, 3, 3, 'swap'),
            LayerStep(1, 17, 4, 4, 'swap'),
        )
        state = LayerState(IN_TURN, loads)
        for step in steps:
            state.apply(step)
            fresh = LayerState(state.layer, loads)
            for mine, exact in zip(state.heat, fresh.heat, strict=True):
                self.assertAlmostEqual(mine, exact)
