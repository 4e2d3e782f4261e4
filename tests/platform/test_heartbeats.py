"""Guards against invalid heartbeats that add or remove replicas.

A message can lack fields, have wrong types or name an unknown state. If that
state were taken for leaving, the replica would be removed from the roster,
which is irreversible.
"""

from __future__ import annotations

import socket
import unittest
from types import MappingProxyType

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import json, msgpack

from snipebend.state.roster import RecordRequest, Roster, RosterPhase
from snipebend.state.roster_checks import MAX_NAME_CHARS
from snipebend.transport.outer_endpoints import MAX_ANNOUNCEMENT_BYTES
from snipebend_platform.heartbeats import (
    read_departure,
    read_heartbeat,
    read_warmth,
)

HEARTBEAT = MappingProxyType(
    {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'dc-a',
        'slots': 6,
        'state': 'ready',
        'seq': 3,
        'born': 1790000000000,
    }
)


def arbitrary_values(integers):
    """Return a strategy for nested values with the given integers."""
    return st.recursive(
        st.none() | st.booleans() | integers | st.floats() | st.text(),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.text(max_size=5), inner, max_size=3)
        ),
        max_leaves=5,
    )


#: Encodings of a body, each with the values that it can encode.
ENCODINGS = (
    (json.encode, arbitrary_values(st.integers())),
    (msgpack.encode, arbitrary_values(st.integers(-(2**63), 2**64 - 1))),
)
BODIES = st.one_of(*(strategy.map(encode) for encode, strategy in ENCODINGS))


def changed_heartbeats(encode, strategy):
    """Return a strategy for heartbeats with a changed field, and its name."""
    return st.tuples(st.sampled_from(sorted(HEARTBEAT)), strategy).map(
        lambda pair: (pair[0], encode(HEARTBEAT | {pair[0]: pair[1]}))
    )


CHANGED_HEARTBEATS = st.one_of(
    *(changed_heartbeats(*form) for form in ENCODINGS)
)


def is_ipv4(host):
    """Return whether a host is an IPv4 address."""
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        return False
    return True


class TestReading(unittest.TestCase):
    """An invalid message adds no replica to the roster."""

    def test_complete_message(self):
        record = read_heartbeat('i-1', msgpack.encode(dict(HEARTBEAT))).unwrap()
        self.assertEqual(
            (record.identity, record.service, record.slots, record.phase),
            ('i-1', 's', 6, RosterPhase.READY),
        )
        self.assertEqual(record.born, HEARTBEAT['born'])

    def test_unknown_state(self):
        """An unknown state is not taken for leaving, which is irreversible."""
        for state in ('warming', '', 'READY', None, 3):
            with self.subTest(state=state):
                body = msgpack.encode(HEARTBEAT | {'state': state})
                self.assertTrue(read_heartbeat('i-1', body).is_err())

    def test_missing_fields_and_wrong_types(self):
        for name in ('service', 'address', 'state'):
            body = msgpack.encode(
                {key: value for key, value in HEARTBEAT.items() if key != name}
            )
            self.assertTrue(read_heartbeat('i-1', body).is_err(), name)
        for name in ('service', 'address', 'state', 'slots', 'born', 'zone'):
            body = msgpack.encode(HEARTBEAT | {name: [1]})
            self.assertTrue(read_heartbeat('i-1', body).is_err(), name)

    def test_without_a_start_time(self):
        body = msgpack.encode({'service': 's', 'address': '10.0.0.1:80'})
        self.assertTrue(read_heartbeat('i-1', body).is_err())
        heartbeat = {
            key: value for key, value in HEARTBEAT.items() if key != 'born'
        }
        record = read_heartbeat('i-1', msgpack.encode(heartbeat)).unwrap()
        self.assertEqual(record.born, 0)

    def test_how_long_it_stays_cold(self):
        body = msgpack.encode(HEARTBEAT | {'cold_remaining_ms': 1200})
        self.assertEqual(
            read_warmth('i-1', body), ('i-1', HEARTBEAT['born'], 3, 1.2)
        )

    def test_a_doubtful_cold_time_rejects_no_heartbeat(self):
        for cold_ms in (None, 'soon', [1], -5, True, {}):
            body = msgpack.encode(HEARTBEAT | {'cold_remaining_ms': cold_ms})
            self.assertTrue(read_heartbeat('i-1', body).is_ok(), cold_ms)
            self.assertIsNone(read_warmth('i-1', body).cold_s, cold_ms)
        self.assertIsNone(
            read_warmth('i-1', msgpack.encode(dict(HEARTBEAT))).cold_s
        )

    @settings(derandomize=True, max_examples=200)
    @given(st.binary(max_size=200) | BODIES)
    def test_any_body_says_something_or_nothing_of_its_warmth(self, body):
        hearing = read_warmth('i-1', body)
        self.assertTrue(hearing is None or hearing.upstream == 'i-1')

    def test_departure_with_and_without_start_time(self):
        self.assertEqual(read_departure('i', b'').unwrap().born, 0)
        self.assertEqual(read_departure('i', b'{"born":5}').unwrap().born, 5)
        self.assertTrue(read_departure('i', b'{"born":"5"}').is_err())
        self.assertTrue(read_departure('i', b'\xff').is_err())

    @settings(derandomize=True, max_examples=200)
    @given(st.binary(max_size=200) | BODIES)
    def test_any_body_is_decoded_or_rejected(self, body):
        for read in (read_heartbeat('i-1', body), read_departure('i-1', body)):
            self.assertTrue(read.is_err() or read.unwrap().identity == 'i-1')

    @settings(derandomize=True, max_examples=400)
    @given(CHANGED_HEARTBEATS)
    def test_accepted_records_can_be_stored_and_called(self, changed):
        """The record becomes part of a command; entries open its address."""
        read = read_heartbeat('i-1', changed[1])
        if read.is_ok():
            record = read.unwrap()
            msgpack.encode(record)
            host, _, port = record.address.rpartition(':')
            self.assertTrue(is_ipv4(host) and int(port) < 1 << 16)

    def test_numbers_at_the_limits(self):
        for name in ('slots', 'born'):
            for number in (2**63 - 1, 2**63, 2**64, 10**30):
                with self.subTest(name=name, number=number):
                    body = json.encode(HEARTBEAT | {name: number})
                    read = read_heartbeat('i-1', body)
                    self.assertEqual(read.is_ok(), number < 2**63)
        self.assertTrue(read_departure('i', b'{"born":1e400}').is_err())

    def test_addresses_that_cannot_be_opened(self):
        addresses = (
            '999.0.0.1:80',
            '10.0.0.1:65536',
            '10.0.0.1:80\n',
            '1.2.3:80',
            '....:1',
            '10.0.0.1:\u0664',
        )
        for address in addresses:
            with self.subTest(address=address):
                body = json.encode(HEARTBEAT | {'address': address})
                self.assertTrue(read_heartbeat('i-1', body).is_err())

    def test_long_names_and_deep_nesting(self):
        name = 'a' * (MAX_NAME_CHARS + 1)
        body = json.encode(dict(HEARTBEAT))
        self.assertTrue(read_heartbeat(name, body).is_err())
        self.assertTrue(read_departure(name, b'').is_err())
        body = json.encode(HEARTBEAT | {'service': name})
        self.assertTrue(read_heartbeat('i-1', body).is_err())
        deep = b'{"a":%b' % (b'[' * MAX_ANNOUNCEMENT_BYTES)
        self.assertTrue(read_heartbeat('i-1', deep).is_err())
        self.assertTrue(read_departure('i-1', deep).is_err())

    @settings(derandomize=True, max_examples=200)
    @given(CHANGED_HEARTBEATS)
    def test_no_changed_field_removes_a_valid_replica(self, changed):
        """The record changes only on leaving or with a new start time."""
        roster = Roster()
        good = read_heartbeat('i-1', msgpack.encode(dict(HEARTBEAT))).unwrap()
        roster.record(RecordRequest(good))
        name, body = changed
        read = read_heartbeat('i-1', body)
        if name == 'born' or read.is_err():
            return
        roster.record(RecordRequest(read.unwrap()))
        kept = roster.upstreams['i-1']
        self.assertEqual(
            (kept.service, kept.address, kept.phase),
            ('s', '10.0.0.1:80', RosterPhase.READY),
        )
