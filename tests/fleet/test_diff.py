"""A distributed change must give every process the same fleet.

A process applies a delta to the fleet that it has. A delta that omits a change,
or the order of entries, leaves it with another fleet. A difference printed for
operators must name fields, not values such as API keys.
"""

from __future__ import annotations

import unittest

import msgspec
from hypothesis import given, settings

from snipebend.fleet.delta import FleetDelta
from snipebend.fleet.diff import (
    Added,
    Changed,
    Removed,
    apply_delta,
    checksum,
    delta_between,
    diff_fleets,
)
from snipebend.fleet.model import Fleet, Priority, RoutingPolicy, Weights
from tests.fleet.strategies import fleets

LOW = Priority('low', 1, 9)
HIGH = Priority('high', 8, 9)
IDLE = Priority('idle', 1, 0)


def _fleet(*priorities: Priority) -> Fleet:
    return Fleet(
        name='f',
        stale_policy='refuse',
        weights=Weights(1, 1),
        routing=RoutingPolicy(),
        priorities=priorities,
        upstreams=(),
        groups=(),
        workspaces=(),
        services=(),
    )


class DeltaTest(unittest.TestCase):
    """A delta turns one fleet into exactly the other."""

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(fleets(), fleets())
    def test_applies_exactly(self, old: Fleet, new: Fleet) -> None:
        """After encoding too; equal fleets give an empty delta."""
        delta = delta_between(old, new)
        wire = msgspec.msgpack.encode(delta)
        received = msgspec.msgpack.decode(wire, type=FleetDelta)
        self.assertEqual(received, delta)
        self.assertEqual(apply_delta(old, received), new)
        self.assertEqual(apply_delta(new, received), new)
        self.assertEqual(delta_between(new, new), FleetDelta())
        self.assertEqual(checksum(old) == checksum(new), old == new)
        self.assertEqual(not diff_fleets(old, new), old == new)

    def test_small_change_is_a_small_delta(self) -> None:
        """One changed entry is sent alone, without the section's order."""
        old = _fleet(HIGH, LOW, IDLE)
        new = _fleet(HIGH, LOW._replace(weight=2), IDLE)
        self.assertEqual(
            delta_between(old, new),
            FleetDelta(priorities=(LOW._replace(weight=2),)),
        )


class DiffTest(unittest.TestCase):
    """Changes contain names of fields, never values."""

    def test_all_kinds_of_changes(self) -> None:
        """An addition, a removal, a change and a reordering."""
        old = _fleet(HIGH, IDLE)
        new = _fleet(LOW, HIGH._replace(weight=4))._replace(name='g')
        self.assertEqual(
            diff_fleets(old, new),
            (
                Changed('fleet', '', ('name',)),
                Removed('priorities', 'idle'),
                Added('priorities', 'low'),
                Changed('priorities', 'high', ('weight',)),
            ),
        )
        self.assertEqual(
            diff_fleets(_fleet(HIGH, LOW), _fleet(LOW, HIGH)),
            (Changed('priorities', '', ('order',)),),
        )
        self.assertEqual(
            diff_fleets(None, _fleet(LOW)),
            (Added('fleet', 'f'), Added('priorities', 'low')),
        )
