"""What replicas, or others in their name, may send."""

from __future__ import annotations

import unittest
from types import MappingProxyType

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import json, msgpack

from snipebend.state.roster import RecordRequest, Roster, RosterPhase
from snipebend_platform.heartbeats import read_departure, read_heartbeat

BEAT = MappingProxyType(
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


def noise(numbers):
    """Return anything, with whole numbers of a kind."""
    return st.recursive(
        st.none() | st.booleans() | numbers | st.floats() | st.text(),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.text(max_size=5), inner, max_size=3)
        ),
        max_leaves=5,
    )


#: Forms of a body, with what each of them can write.
FORMS = (
    (json.encode, noise(st.integers())),
    (msgpack.encode, noise(st.integers(-(2**63), 2**64 - 1))),
)
BODIES = st.one_of(*(written.map(encode) for encode, written in FORMS))


def spoil(encode, written):
    """Return a good message with one field written over, and its name."""
    return st.tuples(st.sampled_from(sorted(BEAT)), written).map(
        lambda pair: (pair[0], encode(BEAT | {pair[0]: pair[1]}))
    )


SPOILT = st.one_of(*(spoil(*form) for form in FORMS))


class TestReading(unittest.TestCase):
    """A message that can't be read whole names no replica to use."""

    def test_a_whole_message(self):
        record = read_heartbeat('i-1', msgpack.encode(dict(BEAT))).unwrap()
        self.assertEqual(
            (record.identity, record.service, record.slots, record.phase),
            ('i-1', 's', 6, RosterPhase.READY),
        )
        self.assertEqual(record.born, BEAT['born'])

    def test_a_state_that_is_not_named(self):
        """It isn't taken for leaving: that can't be taken back."""
        for state in ('warming', '', 'READY', None, 3):
            with self.subTest(state=state):
                body = msgpack.encode(BEAT | {'state': state})
                self.assertTrue(read_heartbeat('i-1', body).is_err())

    def test_fields_that_are_missing_or_of_another_type(self):
        for name in ('service', 'address', 'state'):
            body = msgpack.encode(
                {key: one for key, one in BEAT.items() if key != name}
            )
            self.assertTrue(read_heartbeat('i-1', body).is_err(), name)
        for name in ('service', 'address', 'state', 'slots', 'born', 'zone'):
            body = msgpack.encode(BEAT | {name: [1]})
            self.assertTrue(read_heartbeat('i-1', body).is_err(), name)

    def test_without_a_start(self):
        body = msgpack.encode({'service': 's', 'address': '10.0.0.1:80'})
        self.assertTrue(read_heartbeat('i-1', body).is_err())
        beat = {key: one for key, one in BEAT.items() if key != 'born'}
        record = read_heartbeat('i-1', msgpack.encode(beat)).unwrap()
        self.assertEqual(record.born, 0)

    def test_an_end_tells_its_start_or_nothing(self):
        self.assertEqual(read_departure('i', b'').unwrap().born, 0)
        self.assertEqual(read_departure('i', b'{"born":5}').unwrap().born, 5)
        self.assertTrue(read_departure('i', b'{"born":"5"}').is_err())
        self.assertTrue(read_departure('i', b'\xff').is_err())

    @settings(derandomize=True, max_examples=200)
    @given(st.binary(max_size=200) | BODIES)
    def test_anything_is_answered(self, body):
        for read in (read_heartbeat('i-1', body), read_departure('i-1', body)):
            self.assertTrue(read.is_err() or read.unwrap().identity == 'i-1')

    @settings(derandomize=True, max_examples=200)
    @given(SPOILT)
    def test_no_field_takes_a_good_replica_out(self, spoilt):
        """Unless it says that it leaves, or that it started again."""
        roster = Roster()
        good = read_heartbeat('i-1', msgpack.encode(dict(BEAT))).unwrap()
        roster.record(RecordRequest(good))
        name, body = spoilt
        read = read_heartbeat('i-1', body)
        if name == 'born' or read.is_err():
            return
        roster.record(RecordRequest(read.unwrap()))
        kept = roster.upstreams['i-1']
        self.assertEqual(
            (kept.service, kept.address, kept.phase),
            ('s', '10.0.0.1:80', RosterPhase.READY),
        )
