"""A rendered fleet file must parse to the same fleet.

Rendered text is applied again. If a value were lost or escaped wrongly, that
would change the fleet or be rejected.
"""

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
    """Rendered text can be applied again without a change."""

    @settings(derandomize=True, deadline=None)
    @given(fleets())
    def test_any_fleet(self, fleet: Fleet) -> None:
        """Parsing rendered text gives an equal fleet and checksum."""
        parsed = parse_fleet(render_fleet(fleet), 'f.toml').unwrap()
        self.assertEqual(parsed, fleet)
        self.assertEqual(checksum(parsed), checksum(fleet))

    def test_examples(self) -> None:
        """Both examples have ten workspaces, 16 ranks and opposite weights."""
        weight_differences = {}
        for path in sorted(EXAMPLES.glob('*.toml')):
            fleet = parse_fleet(path.read_text(), path.name).unwrap()
            self.assertEqual(
                parse_fleet(render_fleet(fleet), 'f.toml').unwrap(), fleet
            )
            self.assertEqual(len(fleet.workspaces), 10)
            self.assertEqual(sum(group.ranks for group in fleet.groups), 16)
            weight_differences[fleet.name] = (
                fleet.weights.skew - fleet.weights.cost
            )
        self.assertEqual(
            set(weight_differences), {'maengelwerk', 'chanthavong'}
        )
        self.assertGreater(weight_differences['maengelwerk'], 0)
        self.assertLess(weight_differences['chanthavong'], 0)
