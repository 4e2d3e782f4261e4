"""Guards against tickets of another writer that end a request with an error."""

from __future__ import annotations

import unittest
from unittest.mock import Mock

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import json

from snipebend.delivery.messages import AttemptTicket
from snipebend.transport.upstream_api import _read_ticket

TICKET = AttemptTicket('r1', 1, 2, 3.0)
SCALARS = st.none() | st.booleans() | st.integers() | st.text(max_size=3)
#: Headers are text of one byte a character.
TEXT = st.text(st.characters(max_codepoint=255), max_size=80)


def read(text):
    """Return the ticket in a header."""
    return _read_ticket(Mock(get_header=lambda name: text))


class TestTicketReading(unittest.TestCase):
    """What can't be read is no ticket."""

    def test_valid(self):
        self.assertEqual(read(json.encode(TICKET).decode()), TICKET)

    def test_no_header_and_deep_nesting(self):
        self.assertIsNone(read(None))
        self.assertIsNone(read(f'{{"a":{"[" * 60_000}'))

    @settings(derandomize=True, max_examples=300)
    @given(TEXT)
    def test_any_text(self, text):
        self.assertIsNone(read(text))

    @settings(derandomize=True, max_examples=300)
    @given(st.sampled_from(AttemptTicket.__struct_fields__), SCALARS)
    def test_field_of_another_type(self, name, scalar):
        fields = json.decode(json.encode(TICKET)) | {name: scalar}
        found = read(json.encode(fields).decode('latin-1'))
        if found is not None:
            self.assertIs(type(getattr(found, name)), type_of(name))


def type_of(name):
    """Return the type of a ticket's field."""
    return type(getattr(TICKET, name))


if __name__ == '__main__':
    unittest.main()
