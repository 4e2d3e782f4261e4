"""Ensures that invalid expert maps are refused.

Encoded maps can be truncated. A placement can name an unknown expert, leave an
expert without a rank, or list it twice on one rank.
"""

from __future__ import annotations

import unittest

import numpy as np

from snipebend.experts.model import ExpertMap, check_map, decode_map
from snipebend.experts.placement import place_from_scratch
from tests.experts.loads import SHAPE, zipf_shares


def _make_map(seed: int = 1, version: int = 7) -> ExpertMap:
    return place_from_scratch(SHAPE, zipf_shares(SHAPE, seed), version)


class ModelTest(unittest.TestCase):
    """Encoding, moves and checks of a map."""

    def test_encoding_keeps_the_map_and_its_digest(self) -> None:
        expert_map = _make_map()
        decoded = decode_map(expert_map.encode()).unwrap()
        self.assertEqual(decoded, expert_map)
        self.assertEqual(decoded.digest(), expert_map.digest())
        self.assertNotEqual(
            ExpertMap(8, expert_map.placement).digest(),
            expert_map.digest(),
        )

    def test_truncated_bytes_are_refused(self) -> None:
        encoded = _make_map().encode()
        for size in (0, 5, 20, len(encoded) - 1):
            with self.subTest(size=size):
                self.assertTrue(decode_map(encoded[:size]).is_err())

    def test_moves_produce_the_target(self) -> None:
        first, second = _make_map(1), _make_map(2, version=8)
        moves = first.moves_to(second)
        self.assertEqual(first.apply_moves(moves, 8), second)
        self.assertEqual(first.moves_to(first), ())

    def test_a_map_cannot_be_changed_in_place(self) -> None:
        expert_map = _make_map()
        with self.assertRaises(ValueError):
            expert_map.placement[0, 0, 0] = 3

    def test_check_reports_each_fault(self) -> None:
        good = _make_map().placement
        unknown, unplaced, duplicate = good.copy(), good.copy(), good.copy()
        unknown[0, 0, 0] = SHAPE.experts
        unplaced[unplaced == 5] = 6
        duplicate[1, 2, 0] = duplicate[1, 2, 1]
        faults = {
            'unknown expert': unknown,
            'expert without a rank': unplaced,
            'axes': good[:, :-1],
        }
        for fault, placement in faults.items():
            with self.subTest(fault=fault):
                error = check_map(SHAPE, ExpertMap(1, placement)).unwrap_err()
                self.assertIn(fault, error.message)
        self.assertTrue(check_map(SHAPE, ExpertMap(1, duplicate)).is_err())
        self.assertTrue(check_map(SHAPE, ExpertMap(1, good)).is_ok())

    def test_second_copy_on_a_rank_is_refused(self) -> None:
        placement = np.array([[[0, 1], [2, 2]]])
        shape = SHAPE._replace(ranks=2, experts=3, layers=1, slots=2)
        error = check_map(shape, ExpertMap(1, placement)).unwrap_err()
        self.assertEqual(error.message, 'expert twice on one rank')
