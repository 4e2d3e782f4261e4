"""Detects a skew that is estimated too low because counts are few.

A map search fits the map to the noise of the counts, too. Under the counted
shares the skew is then lower than under the true demand.
"""

from __future__ import annotations

import unittest

import numpy as np

from snipebend.experts.layer_state import layer_skew
from snipebend.experts.map_search import ChangeLimits, MapSearch
from snipebend.experts.sizes import ExpertSizes, initial_map
from snipebend.experts.uncertain_skew import expected_skew

LAYERS = 4
EXPERTS = 144
RANKS = 72
SIZES = ExpertSizes(LAYERS, EXPERTS, 3, 2, 0.85)
MANY = 1_000_000
#: About twenty choices per expert: what one span of three ranks of 72 brings.
FEW = 3000


class TestExpectedSkew(unittest.TestCase):
    """The skew under the counted shares is too low for a map made from them."""

    def setUp(self):
        rng = np.random.default_rng(4)
        weights = np.arange(1, EXPERTS + 1) ** -0.6
        popularity = [rng.permutation(weights) for _ in range(LAYERS)]
        self.shares = np.array(popularity) / weights.sum()
        self.rng = rng

    def count(self, choices):
        return self.rng.multinomial(choices, self.shares).astype(float)

    def plan(self, counts):
        shares = counts / counts.sum(axis=1, keepdims=True)
        loads = (shares * RANKS).tolist()
        search = MapSearch(initial_map(SIZES, RANKS), loads, ChangeLimits(3, 2))
        return search.run(), loads

    def true_skew(self, layers):
        loads = (self.shares * RANKS).tolist()
        return np.mean(list(map(layer_skew, layers, loads)))

    def test_predicts_the_true_skew_from_few_counts(self):
        counts = self.count(FEW)
        layers, loads = self.plan(counts)
        counted_skew = np.mean(list(map(layer_skew, layers, loads)))
        actual = self.true_skew(layers)
        self.assertGreater(actual, counted_skew + 0.2)
        expected = expected_skew(layers, counts)
        self.assertLess(abs(expected - actual), abs(counted_skew - actual) / 2)

    def test_equals_the_true_skew_for_many_counts(self):
        counts = self.count(MANY)
        layers, _ = self.plan(counts)
        expected = expected_skew(layers, counts)
        self.assertAlmostEqual(expected, self.true_skew(layers), delta=0.03)

    def test_accounts_for_slow_ranks(self):
        counts = self.count(MANY)
        layers = initial_map(SIZES, RANKS)
        slowness = (4.0, *(1.0,) * (RANKS - 1))
        self.assertGreater(
            expected_skew(layers, counts, slowness),
            expected_skew(layers, counts),
        )

    def test_is_deterministic(self):
        counts = self.count(FEW)
        layers = initial_map(SIZES, RANKS)
        self.assertEqual(
            expected_skew(layers, counts), expected_skew(layers, counts)
        )


if __name__ == '__main__':
    unittest.main()
