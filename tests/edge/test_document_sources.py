"""Whom to ask for a document."""

from __future__ import annotations

import unittest

from snipebend.edge.document_sources import PAUSE_S, DocumentSources

DAEMONS = ('a:1', 'b:1', 'c:1')


class TestSources(unittest.TestCase):
    """Three daemons that tell of documents."""

    def setUp(self):
        self.sources = DocumentSources('entry-1')
        for address in DAEMONS:
            self.sources.note_told(address, 4)

    def test_only_who_has_a_newer_one_is_asked(self):
        self.sources.note_told('b:1', 5)
        self.assertEqual(self.sources.newest, 5)
        self.assertEqual(self.sources.choose(4, 0), 'b:1')

    def test_the_same_one_is_asked_on(self):
        first = self.sources.choose(3, 0)
        self.assertEqual(self.sources.choose(3, 1), first)

    def test_one_that_failed_goes_behind_for_a_while(self):
        asked = []
        for _ in DAEMONS:
            asked.append(self.sources.choose(3, 0))
            self.sources.note_failure(asked[-1], 0)
        self.assertEqual(set(asked), set(DAEMONS))
        # All failed: the last is as good as the others, and is asked on.
        self.assertEqual(self.sources.choose(3, 0), asked[-1])
        self.sources.note_failure(asked[-1], 1)
        self.assertNotEqual(self.sources.choose(3, PAUSE_S), asked[-1])

    def test_a_lost_one_is_not_asked(self):
        for address in DAEMONS[1:]:
            self.sources.note_lost(address)
        self.assertEqual(self.sources.choose(3, 0), DAEMONS[0])
        self.sources.note_lost(DAEMONS[0])
        self.assertEqual(self.sources.newest, 0)

    def test_processes_ask_different_ones(self):
        asked = set()
        for number in range(20):
            sources = DocumentSources(f'entry-{number}')
            for address in DAEMONS:
                sources.note_told(address, 4)
            asked.add(sources.choose(3, 0))
        self.assertEqual(asked, set(DAEMONS))
