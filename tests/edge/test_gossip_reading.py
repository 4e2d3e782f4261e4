"""Guards against datagrams of another writer that raise or change anything."""

from __future__ import annotations

import unittest
from unittest.mock import Mock

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import msgpack

from snipebend.edge.gossip import Gossip, GossipMessage

ADDRESS = ('127.0.0.1', 0)
#: Of a text that isn't UTF-8, and of lists within lists.
BAD_TEXT = b'\xa1\xff'
DEEP = b'\x91' * 60_000
FIELDS = (
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.text(max_size=3)
    | st.lists(st.integers(0, 3), max_size=3)
)


def receive(data):
    """Return what a datagram makes known."""
    state = Mock()
    gossip = Gossip('gossip', 'entry-1', ADDRESS, state)
    gossip._clock = Mock(now=lambda: 1000.0)
    gossip.datagram_received(data, ADDRESS)
    return state.method_calls


class TestGossipReading(unittest.TestCase):
    """A datagram that can't be read changes nothing."""

    def test_valid(self):
        message = GossipMessage('entry-2', 1.0, 1, {'i-1': 2})
        self.assertTrue(receive(msgpack.encode(message)))

    def test_broken_text_and_deep_nesting(self):
        message = msgpack.encode(GossipMessage('entry-2', 1.0, 1, {}))
        text = message.replace(msgpack.encode('entry-2'), BAD_TEXT)
        for data in (text, DEEP, BAD_TEXT, b''):
            self.assertEqual(receive(data), [])

    @settings(derandomize=True, max_examples=300)
    @given(st.binary(max_size=100))
    def test_any_bytes(self, data):
        self.assertEqual(receive(data), [])

    @settings(derandomize=True, max_examples=300)
    @given(st.lists(FIELDS, max_size=8))
    def test_any_fields(self, fields):
        receive(msgpack.encode(fields))


if __name__ == '__main__':
    unittest.main()
