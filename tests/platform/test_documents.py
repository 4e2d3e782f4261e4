"""Detects a configuration that is converted incorrectly.

The platform uses other units and field names, and earlier releases stored JSON.
A time that is not converted into seconds makes a timeout wrong. An unknown kind
of request must be taken for one that may not run twice.
"""

from __future__ import annotations

import unittest
from types import MappingProxyType

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import json, msgpack

from snipebend.hosts.model import RequestKind, TrafficSplit
from snipebend_platform.documents import read_table

CONFIG = MappingProxyType(
    {
        'version': 7,
        'routes': [
            {
                'name': 'r-1',
                'host': 'Ficu95.example',
                'path_prefix': '/lohu930/',
                'kind': 'streaming',
                'timeout_ms': 8000,
                'target_latency_ms': 502,
                'priority': 1,
                'traffic_split': [
                    {'service': 's-1', 'weight': 90},
                    {'service': 's-2', 'weight': 10},
                ],
                'max_attempts': 2,
                'allow_anonymous': False,
                'resume_streams': True,
                'gap_aim_ms': 120,
                'not_known': 1,
            },
            {
                'name': 'r-2',
                'host': 'ficu95.example',
                'path_prefix': '/pufi791/',
                'kind': 'unsafe',
                'timeout_ms': 1000,
                'service': 's-2',
            },
        ],
        'services': [
            {
                'name': 's-1',
                'health_path': '/healthz',
                'max_connections': 418,
                'cold_start_s': 3.0,
                'cold_per_s': 26.0,
                'engine': {
                    'slots': 6,
                    'kv_tokens': 140000,
                    'link_mbps': 180000.0,
                    'sets': 4,
                    'experts': 64,
                    'places': 5,
                    'spare': 2,
                    'expert_mb': 2500.0,
                    'expert_share': 0.85,
                    'step_ms': 4.84,
                    'per_seq_ms': 0.87,
                    'stride': 7,
                    'read_per_s': 74800.0,
                    'chunk': 512,
                    'form_ms': 600.0,
                },
            },
            {'name': 's-2', 'health_path': '/healthz', 'max_connections': 110},
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 't', 'api_keys': ['k1', 'k2'], 'priority': 1}],
    }
)


#: Parts of the configuration and how to replace a field in the first of them.
PLACES = ('', 'routes', 'services', 'engine')
NUMBERS = st.integers(-(2**63), 2**64 - 1) | st.floats()
FIELDS = NUMBERS | st.none() | st.text(max_size=3) | st.lists(NUMBERS)


def find_part(config, place):
    """Return the part of a configuration that a place names."""
    match place:
        case '':
            return config
        case 'engine':
            return config['services'][0]['engine']
        case _:
            return config[place][0]


def change_one(place, number, changed):
    """Return a configuration in which one field has another value."""
    config = msgpack.decode(msgpack.encode(dict(CONFIG)))
    part = find_part(config, place)
    names = sorted(part)
    part[names[number % len(names)]] = changed
    return msgpack.encode(config)


CHANGED = st.builds(
    change_one, st.sampled_from(PLACES), st.integers(0, 30), FIELDS
)


class TestReadTable(unittest.TestCase):
    """All fields are converted, times into seconds."""

    def test_msgpack_and_the_json_of_earlier_releases(self):
        tables = [
            read_table(encode(dict(CONFIG))).unwrap()
            for encode in (msgpack.encode, json.encode)
        ]
        self.assertEqual(*tables)

    def test_complete_configuration(self):
        table = read_table(msgpack.encode(dict(CONFIG))).unwrap()
        first, second = table.routes
        self.assertEqual(table.number, 7)
        self.assertEqual(first.host, 'ficu95.example')
        self.assertIs(first.kind, RequestKind.STREAM)
        self.assertTrue(first.resumable)
        self.assertEqual(first.timeout_s, 8.0)
        self.assertEqual(first.target_s, 0.502)
        self.assertEqual(first.gap_s, 0.12)
        self.assertEqual(
            first.splits, (TrafficSplit('s-1', 90), TrafficSplit('s-2', 10))
        )
        self.assertEqual(second.splits, (TrafficSplit('s-2', 1),))
        self.assertIs(second.kind, RequestKind.UNSAFE)
        engine = table.services[0].engine
        self.assertEqual((engine.layers, engine.experts), (4, 64))
        self.assertAlmostEqual(engine.fetch_s, 0.1111, 4)
        self.assertEqual((engine.pass_steps, engine.read_per_step), (7, 512))
        self.assertEqual(engine.read_per_s, 74800.0)
        self.assertEqual((engine.step_s, engine.form_s), (0.00484, 0.6))
        self.assertAlmostEqual(engine.request_step_s, 0.00087, 6)
        self.assertIsNone(table.services[1].engine)
        cold = [(one.cold_start_s, one.cold_per_s) for one in table.services]
        self.assertEqual(cold, [(3.0, 26.0), (0, 0)])
        self.assertEqual(table.limits.input_timeout_s, 15.0)
        self.assertEqual(table.workspaces[0].keys, ('k1', 'k2'))

    def test_unknown_kind_must_not_run_twice(self):
        table = read_table(self.changed('kind', 'new')).unwrap()
        self.assertIs(table.routes[0].kind, RequestKind.UNSAFE)

    @settings(derandomize=True, max_examples=400)
    @given(CHANGED)
    def test_any_field_is_converted_or_rejected(self, body):
        read = read_table(body)
        if read.is_ok():
            msgpack.encode(read.unwrap())

    @settings(derandomize=True, max_examples=200)
    @given(st.binary(max_size=200))
    def test_any_bytes_are_rejected(self, body):
        self.assertTrue(read_table(body).is_err())

    def test_invalid(self):
        duplicate_key = [
            {'name': 't', 'api_keys': ['k']},
            {'name': 'u', 'api_keys': ['k']},
        ]
        cases = (
            msgpack.encode(dict(CONFIG))[:-20],
            json.encode(dict(CONFIG))[:-20],
            b'',
            b'[]',
            b'{',
            b'\xff\xfe',
            self.changed('timeout_ms', 0),
            self.changed('traffic_split', [{'service': 's-1', 'weight': 0}]),
            self.changed('traffic_split', [{'service': 'none', 'weight': 1}]),
            self.changed('path_prefix', '/pufi791/'),
            self.changed('timeout_ms', 'soon'),
            msgpack.encode({**CONFIG, 'tenants': duplicate_key}),
        )
        for body in cases:
            with self.subTest(body=body[:60]):
                self.assertTrue(read_table(body).is_err())

    def changed(self, field, setting):
        """Return the configuration with a changed field in the first route."""
        first = {**CONFIG['routes'][0], field: setting}
        return msgpack.encode(
            {**CONFIG, 'routes': [first, CONFIG['routes'][1]]}
        )
