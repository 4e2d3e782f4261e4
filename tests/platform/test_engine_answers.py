"""Guards against invalid reports of engines that are taken as valid.

Engines can send unknown states, negative numbers, or counts and maps of another
shape. If such a report were accepted in part, it would show a stopped group or
a wrong demand.
"""

from __future__ import annotations

import unittest
from types import MappingProxyType

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import msgpack

from snipebend.experts.demand import Demand
from snipebend.experts.direct_orders import RankCounts
from snipebend.experts.sizes import ExpertSizes, initial_map, is_complete_map
from snipebend_platform.documents import read_message
from snipebend_platform.engine_calls import _ExpertCounts, _Report

REPORT = MappingProxyType(
    {
        'group': {'name': 'g', 'epoch': 1, 'rank': 0, 'state': 'open'},
        'size': 2,
        'step': 5,
        'map': 0,
        'pace': 1.0,
    }
)
ARBITRARY_VALUES = (
    st.none() | st.integers(-9, 9) | st.text(max_size=3) | st.booleans()
)


class TestReports(unittest.TestCase):
    """An invalid report is rejected completely."""

    def test_unknown_state(self):
        """An unknown state is not mistaken for a stopped group."""
        group = REPORT['group'] | {'state': 'forming'}
        body = msgpack.encode(REPORT | {'group': group})
        self.assertTrue(read_message(body, _Report).is_err())
        self.assertTrue(
            read_message(msgpack.encode(dict(REPORT)), _Report).is_ok()
        )

    @settings(derandomize=True, max_examples=200)
    @given(st.binary(max_size=100) | ARBITRARY_VALUES.map(msgpack.encode))
    def test_any_body_is_decoded_or_rejected(self, body):
        for kind in (_Report, _ExpertCounts):
            read_message(body, kind)

    def test_negative_numbers_are_rejected(self):
        for name in ('size', 'step', 'map', 'prepared', 'held', 'pace'):
            body = msgpack.encode(REPORT | {name: -1})
            self.assertTrue(read_message(body, _Report).is_err(), name)


class TestShapes(unittest.TestCase):
    """Counts and maps are ignored unless their shape fits the configuration."""

    def test_counts_of_another_length(self):
        demand = Demand(2, 3)
        demand.begin({0: RankCounts(1, 5, (0, 0, 0))})
        demand.end({0: RankCounts(1, 6, (900, 900, 900))}, is_unmixed=True)
        self.assertIsNone(demand.shares)

    def test_incomplete_maps(self):
        sizes = ExpertSizes(2, 4, 3, 1, 0.8)
        complete = initial_map(sizes, 2)
        self.assertTrue(is_complete_map(sizes, complete))
        self.assertFalse(is_complete_map(sizes, complete[:1]))
        self.assertFalse(is_complete_map(sizes, (complete[0], ((0, 2), (1,)))))
        self.assertFalse(
            is_complete_map(sizes, (complete[0], ((0, 2), (1, 3, 9))))
        )
