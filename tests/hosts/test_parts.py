"""Guards against documents that are incomplete, or assembled from two versions.

A store receives newer documents while a reader still fetches the parts of an
older one, and a reader may continue at another daemon, whose bytes differ.
Parts can also be damaged, repeated, or too large for a slow link.
"""

from __future__ import annotations

import random
import unittest

from snipebend.hosts.parts import (
    MAX_KEPT_DOCUMENTS,
    MAX_PART_BYTES,
    MIN_PART_BYTES,
    DocumentAssembly,
    DocumentPart,
    DocumentStore,
    PartRequest,
)

SIZE = 200_000


def body(number):
    """Return an incompressible document."""
    return random.Random(number).randbytes(SIZE)


class TestParts(unittest.TestCase):
    """A store of documents, and a reader that assembles their parts."""

    def setUp(self):
        self.store = DocumentStore()
        self.assembly = DocumentAssembly()

    def fetch(self, parts=99):
        for _ in range(parts):
            if self.assembly.is_complete:
                break
            self.assembly.add(self.store.get_part(self.assembly.next_request()))

    def test_all_parts_form_the_document(self):
        self.store.put(4, body(4))
        self.fetch()
        self.assertEqual(self.assembly.number, 4)
        self.assertEqual(self.assembly.parts, -(-SIZE // MAX_PART_BYTES))
        self.assertEqual(self.assembly.unpack().unwrap(), body(4))

    def test_repetitive_routes_are_compressed(self):
        text = b''.join(b'{"prefix":"/%d/","ms":8000},' % n for n in range(999))
        self.store.put(4, text)
        self.fetch()
        self.assertLess(self.assembly.received_bytes, len(text) / 5)
        self.assertEqual(self.assembly.unpack().unwrap(), text)

    def test_fetch_can_be_finished_while_newer_documents_arrive(self):
        self.store.put(4, body(4))
        self.fetch(parts=1)
        for newer in range(5, 4 + MAX_KEPT_DOCUMENTS):
            self.store.put(newer, body(newer))
        self.fetch()
        self.assertEqual(self.assembly.number, 4)
        self.assertEqual(self.assembly.unpack().unwrap(), body(4))

    def test_fetch_restarts_with_the_newest_if_its_document_was_dropped(self):
        self.store.put(4, body(4))
        self.fetch(parts=1)
        for newer in range(5, 5 + MAX_KEPT_DOCUMENTS):
            self.store.put(newer, body(newer))
        self.fetch()
        self.assertEqual(self.assembly.number, 4 + MAX_KEPT_DOCUMENTS)
        self.assertEqual(
            self.assembly.unpack().unwrap(), body(4 + MAX_KEPT_DOCUMENTS)
        )

    def test_fetch_continues_at_another_daemon(self):
        other = DocumentStore()
        self.store.put(4, body(4))
        other.put(4, body(4))
        self.fetch(parts=2)
        self.store = other
        self.fetch()
        self.assertEqual(self.assembly.parts, -(-SIZE // MAX_PART_BYTES))
        self.assertEqual(self.assembly.unpack().unwrap(), body(4))

    def test_parts_of_different_bytes_are_never_mixed(self):
        other = DocumentStore()
        self.store.put(4, body(4))
        other.put(4, body(5))
        self.fetch(parts=2)
        self.store = other
        self.fetch()
        self.assertEqual(self.assembly.unpack().unwrap(), body(5))

    def test_failures_halve_and_successes_double_the_size(self):
        sizes = []
        for _ in range(6):
            sizes.append(self.assembly.next_request().size)
            self.assembly.record_failure()
        self.assertEqual(sizes[:2], [MAX_PART_BYTES, MAX_PART_BYTES // 2])
        self.assertEqual(sizes[-1], MIN_PART_BYTES)
        self.store.put(4, body(4))
        self.fetch(parts=1)
        self.assertEqual(self.assembly.next_request().size, 2 * MIN_PART_BYTES)

    def test_part_that_adds_nothing_is_rejected(self):
        self.store.put(4, body(4))
        part = self.store.get_part(PartRequest())
        self.assertTrue(self.assembly.add(part))
        self.assertFalse(self.assembly.add(part))
        self.assertFalse(self.assembly.add(DocumentPart(0)))

    def test_damaged_document_is_an_error(self):
        self.store.put(4, body(4))
        part = self.store.get_part(PartRequest())
        damaged = DocumentPart(4, part.digest, 3, 0, b'bad')
        self.assembly.add(damaged)
        self.assertTrue(self.assembly.is_complete)
        self.assertTrue(self.assembly.unpack().is_err())

    def test_empty_store(self):
        self.assertEqual(self.store.get_part(PartRequest()), DocumentPart(0))
