"""Rendering reads back as the same fleet, for any fleet and the examples."""

from __future__ import annotations

import unittest
from pathlib import Path

from hypothesis import given, settings

from snipebend.fleet.diff import checksum
from snipebend.fleet.model import Fleet
from snipebend.fleet.parsing import parse_fleet
from snipebend.fleet.rendering import render_fleet
from tests.fleet.strategies import fleets

EXAMPLES = Path(__file__).parents[2] / 'examples'


class RoundTripTest(unittest.TestCase):
    """What is shown can be applied again unchanged."""

    @settings(derandomize=True, deadline=None)
    @given(fleets())
    def test_any_fleet(self, fleet: Fleet) -> None:
        """Parsing a rendering gives an equal fleet and checksum."""
        again = parse_fleet(render_fleet(fleet), 'f.toml').unwrap()
        self.assertEqual(again, fleet)
        self.assertEqual(checksum(again), checksum(fleet))

    def test_examples(self) -> None:
        """Both examples have the sizes of today and the weights asked for."""
        leans = {}
        for path in sorted(EXAMPLES.glob('*.toml')):
            fleet = parse_fleet(path.read_text(), path.name).unwrap()
            self.assertEqual(
                parse_fleet(render_fleet(fleet), 'f.toml').unwrap(), fleet
            )
            self.assertEqual(len(fleet.workspaces), 10)
            self.assertEqual(sum(group.ranks for group in fleet.groups), 16)
            leans[fleet.name] = fleet.weights.skew - fleet.weights.cost
        self.assertEqual(set(leans), {'maengelwerk', 'chanthavong'})
        self.assertGreater(leans['maengelwerk'], 0)
        self.assertLess(leans['chanthavong'], 0)
