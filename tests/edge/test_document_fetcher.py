"""What becomes of parts that are late, of no use or damaged."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from result import Err, Ok

from snipebend.edge import document_fetcher
from snipebend.edge.document_fetcher import DocumentFetcher
from snipebend.errors.hierarchy import UnavailableError
from snipebend.hashing.rendezvous import weigh
from snipebend.hosts.parts import DocumentPart, DocumentShelf
from snipebend.kernel.clock import SystemClock
from tests.programs import WAIT_TIMEOUT_S

DAEMONS = ('a:1', 'b:1')
BODY = b'a document'


class FakeClients:
    """Daemons with a shelf each; some don't answer, or answer wrongly."""

    def __init__(self):
        self.shelves = {address: DocumentShelf() for address in DAEMONS}
        self.answers = {}
        self.asked = []

    async def call(self, peer, method, req, *, timeout):
        self.asked.append(peer)
        answer = self.answers.get(peer)
        if answer is not None:
            return answer
        return Ok(self.shelves[peer].part(req))


class TestFetcher(unittest.IsolatedAsyncioTestCase):
    """Two daemons that tell of one document."""

    async def asyncSetUp(self):
        self.enterContext(
            mock.patch.object(document_fetcher, 'DAMAGED_RETRY_S', 0)
        )
        self.clients = FakeClients()
        self.taken = asyncio.Queue()
        self.fetcher = DocumentFetcher(
            'e', self.clients, lambda *told: self.taken.put_nowait(told)
        )
        running = asyncio.create_task(self.fetcher.run(SystemClock()))
        self.addCleanup(running.cancel)
        for shelf in self.clients.shelves.values():
            shelf.put(4, BODY)
        #: Asked first.
        self.first = min(DAEMONS, key=lambda address: weigh(address, 'e'))

    async def fetch(self):
        for address in DAEMONS:
            self.fetcher.note_told(address, 4)
        return await asyncio.wait_for(self.taken.get(), WAIT_TIMEOUT_S)

    async def test_a_document_is_handed_on_once(self):
        number, body, _ = await self.fetch()
        self.assertEqual((number, body), (4, BODY))
        self.fetcher.note_told(DAEMONS[0], 4)
        self.assertEqual(len(self.clients.asked), 1)

    async def test_a_daemon_that_does_not_answer_is_left(self):
        self.clients.answers[self.first] = Err(
            UnavailableError('late', step='fetch')
        )
        _, body, source = await self.fetch()
        self.assertEqual(body, BODY)
        self.assertNotEqual(source, self.first)

    async def test_a_damaged_document_is_fetched_again_elsewhere(self):
        """Left out, a change would be in force here with the next one only."""
        wrong = DocumentPart(4, 7, 3, 0, b'bad')
        self.clients.answers[self.first] = Ok(wrong)
        _, body, source = await self.fetch()
        self.assertEqual(body, BODY)
        self.assertNotEqual(source, self.first)
        self.assertEqual(len(self.clients.asked), 2)

    async def test_a_daemon_that_has_less_than_it_told_is_left(self):
        self.clients.answers[self.first] = Ok(DocumentPart(0))
        _, body, source = await self.fetch()
        self.assertEqual(body, BODY)
        self.assertNotEqual(source, self.first)
