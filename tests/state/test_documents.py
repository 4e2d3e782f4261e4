"""An outdated document must not replace the one in force.

Operators number their documents. One that is sent late, or sent again with
other content under the same number, arrives after a higher number is in force.
"""

from __future__ import annotations

import unittest

from snipebend.state.commands import (
    PutDocument,
    decode_command,
    encode_command,
)
from snipebend.state.documents import PutReply, PutRequest
from snipebend.state.machine import Machine


class TestDocuments(unittest.TestCase):
    """Commands that put documents in force: only a higher number is stored."""

    def setUp(self):
        self.machine = Machine()

    def put(self, number, body):
        command = PutDocument(PutRequest(number, body), 1.0)
        return self.machine.execute(decode_command(encode_command(command)))

    def test_higher_numbers_replace(self):
        self.assertEqual(self.put(4, b'four'), PutReply(4, stored=True))
        self.assertEqual(self.put(9, b'nine'), PutReply(9, stored=True))
        self.assertEqual(self.machine.state.documents.body, b'nine')

    def test_outdated_and_resent_documents_change_nothing(self):
        self.put(9, b'nine')
        for number in (4, 9):
            reply = self.put(number, b'other content')
            self.assertEqual(reply, PutReply(9, stored=False))
        self.assertEqual(self.machine.state.documents.body, b'nine')

    def test_body_is_unchanged_in_a_snapshot(self):
        body = b'{"version": 7,\n  "x": "\xc3\xa4"}'
        self.put(7, body)
        restored = Machine.decode(self.machine.encode())
        self.assertEqual(restored.state.documents.body, body)
