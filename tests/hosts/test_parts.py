"""Documents packed, cut into parts and put together again."""

from __future__ import annotations

import random
import unittest

from snipebend.hosts.parts import (
    LEAST_PART_BYTES,
    MOST_PART_BYTES,
    SHELVED,
    Assembly,
    DocumentPart,
    DocumentShelf,
    PartRequest,
)

SIZE = 200_000


def body(number):
    """Return a document that can't be packed into less."""
    return random.Random(number).randbytes(SIZE)


class TestParts(unittest.TestCase):
    """A shelf and what a reader makes of its parts."""

    def setUp(self):
        self.shelf = DocumentShelf()
        self.assembly = Assembly()

    def fetch(self, parts=99):
        for _ in range(parts):
            if self.assembly.whole:
                break
            self.assembly.take(self.shelf.part(self.assembly.request()))

    def test_all_parts_make_the_document(self):
        self.shelf.put(4, body(4))
        self.fetch()
        self.assertEqual(self.assembly.number, 4)
        self.assertEqual(self.assembly.parts, -(-SIZE // MOST_PART_BYTES))
        self.assertEqual(self.assembly.unpack().unwrap(), body(4))

    def test_routes_that_repeat_each_other_need_a_tenth(self):
        text = b''.join(b'{"prefix":"/%d/","ms":8000},' % n for n in range(999))
        self.shelf.put(4, text)
        self.fetch()
        self.assertLess(self.assembly.arrived, len(text) / 5)
        self.assertEqual(self.assembly.unpack().unwrap(), text)

    def test_what_was_begun_can_be_ended_while_newer_ones_come(self):
        self.shelf.put(4, body(4))
        self.fetch(parts=1)
        for newer in range(5, 4 + SHELVED):
            self.shelf.put(newer, body(newer))
        self.fetch()
        self.assertEqual(self.assembly.number, 4)
        self.assertEqual(self.assembly.unpack().unwrap(), body(4))

    def test_the_newest_begins_when_the_one_begun_is_gone(self):
        self.shelf.put(4, body(4))
        self.fetch(parts=1)
        for newer in range(5, 5 + SHELVED):
            self.shelf.put(newer, body(newer))
        self.fetch()
        self.assertEqual(self.assembly.number, 4 + SHELVED)
        self.assertEqual(self.assembly.unpack().unwrap(), body(4 + SHELVED))

    def test_another_daemon_goes_on_where_one_ended(self):
        other = DocumentShelf()
        self.shelf.put(4, body(4))
        other.put(4, body(4))
        self.fetch(parts=2)
        self.shelf = other
        self.fetch()
        self.assertEqual(self.assembly.parts, -(-SIZE // MOST_PART_BYTES))
        self.assertEqual(self.assembly.unpack().unwrap(), body(4))

    def test_parts_of_other_bytes_are_never_mixed(self):
        other = DocumentShelf()
        self.shelf.put(4, body(4))
        other.put(4, body(5))
        self.fetch(parts=2)
        self.shelf = other
        self.fetch()
        self.assertEqual(self.assembly.unpack().unwrap(), body(5))

    def test_failures_ask_for_less_and_success_for_more(self):
        sizes = []
        for _ in range(6):
            sizes.append(self.assembly.request().size)
            self.assembly.record_failure()
        self.assertEqual(sizes[:2], [MOST_PART_BYTES, MOST_PART_BYTES // 2])
        self.assertEqual(sizes[-1], LEAST_PART_BYTES)
        self.shelf.put(4, body(4))
        self.fetch(parts=1)
        self.assertEqual(self.assembly.request().size, 2 * LEAST_PART_BYTES)

    def test_what_adds_nothing_is_told(self):
        self.shelf.put(4, body(4))
        first = self.shelf.part(PartRequest())
        self.assertTrue(self.assembly.take(first))
        self.assertFalse(self.assembly.take(first))
        self.assertFalse(self.assembly.take(DocumentPart(0)))

    def test_damage_is_an_error(self):
        self.shelf.put(4, body(4))
        part = self.shelf.part(PartRequest())
        damaged = DocumentPart(4, part.digest, 3, 0, b'bad')
        self.assembly.take(damaged)
        self.assertTrue(self.assembly.whole)
        self.assertTrue(self.assembly.unpack().is_err())

    def test_an_empty_shelf(self):
        self.assertEqual(self.shelf.part(PartRequest()), DocumentPart(0))
