"""Detects a search that scores the drop of a replica wrongly.

The load that the other holders of an expert have after a drop is computed for
all slots at once. It is compared with its definition, slot by slot, for skewed
loads and for equal loads, where ranks tie.
"""

from __future__ import annotations

import unittest

import numpy as np

from snipebend.experts.model import count_replicas
from snipebend.experts.placement import place_from_scratch
from snipebend.experts.placement_view import view_placement
from snipebend.experts.skew import rank_loads, relative_loads
from tests.experts.loads import SHAPE, zipf_shares


class ViewTest(unittest.TestCase):
    """Derived arrays against their definition."""

    def test_load_of_other_holders_after_a_drop(self) -> None:
        even = np.ones((SHAPE.layers, SHAPE.experts))
        for shares in (even, zipf_shares(SHAPE, 1), zipf_shares(SHAPE, 2)):
            loads = relative_loads(shares, SHAPE.ranks)
            placement = place_from_scratch(SHAPE, loads, 1).placement
            after_drop = view_placement(placement, loads).after_drop
            expected = [
                [self._after_drop(placement, loads, layer, slot)]
                for layer in range(SHAPE.layers)
                for slot in range(SHAPE.ranks * SHAPE.slots)
            ]
            np.testing.assert_allclose(after_drop.ravel(), np.ravel(expected))

    def _after_drop(
        self,
        placement: np.ndarray,
        loads: np.ndarray,
        layer: int,
        slot: int,
    ) -> float:
        rank = slot // SHAPE.slots
        expert = placement[layer].ravel()[slot]
        count = count_replicas(placement, SHAPE.experts)[layer, expert]
        if count == 1:
            return np.inf
        holders = (placement[layer] == expert).any(axis=1)
        holders[rank] = False
        hottest = rank_loads(placement, loads)[layer][holders].max()
        share = loads[layer, expert]
        return hottest + share / (count - 1) - share / count
