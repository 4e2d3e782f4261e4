"""Guards against document fetches that stay with a failed or removed daemon.

Several daemons announce the same document. A fetch continues at one daemon
until it fails, and must not return to it at once. If all processes asked the
same daemon, it would have to send each of them the document.
"""

from __future__ import annotations

import unittest

from snipebend.edge.document_sources import FAILURE_PAUSE_S, DocumentSources

DAEMONS = ('a:1', 'b:1', 'c:1')


class TestSources(unittest.TestCase):
    """Three daemons that announce documents."""

    def setUp(self):
        self.sources = DocumentSources('entry-1')
        for address in DAEMONS:
            self.sources.record_document(address, 4)

    def test_only_daemons_with_a_newer_document_are_asked(self):
        self.sources.record_document('b:1', 5)
        self.assertEqual(self.sources.newest, 5)
        self.assertEqual(self.sources.select(4, 0), 'b:1')

    def test_same_daemon_is_asked_again(self):
        first = self.sources.select(3, 0)
        self.assertEqual(self.sources.select(3, 1), first)

    def test_failed_daemon_is_asked_last_for_a_while(self):
        asked = []
        for _ in DAEMONS:
            asked.append(self.sources.select(3, 0))
            self.sources.record_failure(asked[-1], 0)
        self.assertEqual(set(asked), set(DAEMONS))
        # All have failed: the last one is as good as the others, and is kept.
        self.assertEqual(self.sources.select(3, 0), asked[-1])
        self.sources.record_failure(asked[-1], 1)
        self.assertNotEqual(self.sources.select(3, FAILURE_PAUSE_S), asked[-1])

    def test_removed_daemon_is_not_asked(self):
        for address in DAEMONS[1:]:
            self.sources.remove_daemon(address)
        self.assertEqual(self.sources.select(3, 0), DAEMONS[0])
        self.sources.remove_daemon(DAEMONS[0])
        self.assertEqual(self.sources.newest, 0)

    def test_processes_ask_different_daemons(self):
        asked = set()
        for number in range(20):
            sources = DocumentSources(f'entry-{number}')
            for address in DAEMONS:
                sources.record_document(address, 4)
            asked.add(sources.select(3, 0))
        self.assertEqual(asked, set(DAEMONS))
