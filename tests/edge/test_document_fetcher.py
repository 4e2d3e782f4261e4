"""A document must be fetched as long as any daemon has it.

The daemon that is asked first can fail to respond, send a damaged document, or
have an older one than it announced. If the entry keeps asking it, a confirmed
change does not come into force.
"""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from result import Err, Ok

from snipebend.edge import document_fetcher
from snipebend.edge.document_fetcher import DocumentFetcher
from snipebend.errors.hierarchy import UnavailableError
from snipebend.hashing.rendezvous import weigh
from snipebend.hosts.parts import DocumentPart, DocumentStore
from snipebend.kernel.clock import SystemClock
from tests.programs import WAIT_TIMEOUT_S

DAEMONS = ('a:1', 'b:1')
BODY = b'a document'


class FakeClients:
    """Daemons with document stores; some don't respond, or wrongly."""

    def __init__(self):
        self.stores = {address: DocumentStore() for address in DAEMONS}
        self.replies = {}
        self.requested = []

    async def call(self, peer, method, req, *, timeout):
        self.requested.append(peer)
        reply = self.replies.get(peer)
        if reply is not None:
            return reply
        return Ok(self.stores[peer].get_part(req))


class TestFetcher(unittest.IsolatedAsyncioTestCase):
    """Two daemons that announce the same document."""

    async def asyncSetUp(self):
        self.enterContext(
            mock.patch.object(document_fetcher, 'DAMAGED_RETRY_S', 0)
        )
        self.clients = FakeClients()
        self.documents = asyncio.Queue()
        self.fetcher = DocumentFetcher(
            'e', self.clients, lambda *args: self.documents.put_nowait(args)
        )
        running = asyncio.create_task(self.fetcher.run(SystemClock()))
        self.addCleanup(running.cancel)
        for store in self.clients.stores.values():
            store.put(4, BODY)
        #: The daemon that is asked first.
        self.first = min(DAEMONS, key=lambda address: weigh(address, 'e'))

    async def fetch(self):
        for address in DAEMONS:
            self.fetcher.record_document(address, 4)
        return await asyncio.wait_for(self.documents.get(), WAIT_TIMEOUT_S)

    async def test_document_is_passed_on_once(self):
        number, body, _ = await self.fetch()
        self.assertEqual((number, body), (4, BODY))
        self.fetcher.record_document(DAEMONS[0], 4)
        self.assertEqual(len(self.clients.requested), 1)

    async def test_unresponsive_daemon_is_avoided(self):
        self.clients.replies[self.first] = Err(
            UnavailableError('late', step='fetch')
        )
        _, body, source = await self.fetch()
        self.assertEqual(body, BODY)
        self.assertNotEqual(source, self.first)

    async def test_damaged_document_is_fetched_from_another_daemon(self):
        """Otherwise a change would come into force only with the next one."""
        damaged = DocumentPart(4, 7, 3, 0, b'bad')
        self.clients.replies[self.first] = Ok(damaged)
        _, body, source = await self.fetch()
        self.assertEqual(body, BODY)
        self.assertNotEqual(source, self.first)
        self.assertEqual(len(self.clients.requested), 2)

    async def test_daemon_with_an_older_document_than_announced_is_avoided(
        self,
    ):
        self.clients.replies[self.first] = Ok(DocumentPart(0))
        _, body, source = await self.fetch()
        self.assertEqual(body, BODY)
        self.assertNotEqual(source, self.first)
