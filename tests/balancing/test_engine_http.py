"""Calls must not wait for other calls, nor be sent during a backoff.

A leader calls all ranks of a group at once. If a call waits for the connection
of another one, a late response delays other ranks. An engine that responds with
``Retry-After``, to a query or an order, refuses calls until that time.
"""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

from snipebend.balancing import engine_http
from snipebend.balancing.engine_http import EngineHttpClient

RANKS = 192
TEST_TIMEOUT_S = 60
OK_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
RESPONSE_WITH_RETRY_AFTER = (
    b'HTTP/1.1 503 Busy\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n'
)


class LateEngines:
    """Responds only after all requests have arrived."""

    def __init__(self):
        self._asked = 0
        self._all_asked = asyncio.Event()

    async def serve(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        self._asked += 1
        if self._asked == RANKS:
            self._all_asked.set()
        await self._all_asked.wait()
        writer.write(OK_RESPONSE)
        await writer.drain()
        writer.close()


class TestManyAtOnce(unittest.IsolatedAsyncioTestCase):
    """No call waits for the connection of another call."""

    async def test_all_ranks_are_queried_concurrently(self):
        engines = LateEngines()
        server = await asyncio.start_server(engines.serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()[:2]
        upstream = SimpleNamespace(identity='r', address=f'{host}:{port}')
        http = EngineHttpClient()
        with mock.patch.object(engine_http, 'CALL_TIMEOUT_S', TEST_TIMEOUT_S):
            bodies = await asyncio.gather(
                *(http.read(upstream, '/', {}) for _ in range(RANKS))
            )
        self.assertEqual(set(bodies), {b'ok'})
        await http.close()
        server.close()


class BusyEngine:
    """Refuses all requests with a backoff that is longer than the test."""

    def __init__(self):
        self.queried = 0

    async def serve(self, reader, writer):
        while await reader.readuntil(b'\r\n\r\n'):
            self.queried += 1
            writer.write(RESPONSE_WITH_RETRY_AFTER)


class TestBackoff(unittest.IsolatedAsyncioTestCase):
    """An engine that requested a backoff receives no requests."""

    async def asyncSetUp(self):
        self.engine = BusyEngine()
        server = await asyncio.start_server(self.engine.serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'
        self.http = EngineHttpClient()
        self.addAsyncCleanup(self.http.close)

    def rank(self, identity):
        return SimpleNamespace(identity=identity, address=self.address)

    async def test_no_requests_during_backoff(self):
        self.assertIsNone(await self.http.read(self.rank('a'), '/', {}))
        self.assertIsNone(await self.http.read(self.rank('a'), '/', {}))
        self.assertIsNone(
            await self.http.send_order(self.rank('a'), '/', {}, b'')
        )
        self.assertEqual(self.engine.queried, 1)

    async def test_backoff_from_a_refused_order(self):
        status = await self.http.send_order(self.rank('a'), '/', {}, b'')
        self.assertEqual(status, 503)
        self.assertIsNone(await self.http.read(self.rank('a'), '/', {}))
        self.assertEqual(self.engine.queried, 1)

    async def test_calls_after_the_close_open_no_connection(self):
        await self.http.read(self.rank('a'), '/', {})
        for http in (self.http, EngineHttpClient()):
            await http.close()
            self.assertIsNone(await http.read(self.rank('b'), '/', {}))
            self.assertIsNone(
                await http.send_order(self.rank('b'), '/', {}, b'')
            )
        self.assertEqual(self.engine.queried, 1)

    async def test_other_engines_are_still_queried(self):
        await self.http.read(self.rank('a'), '/', {})
        await self.http.read(self.rank('b'), '/', {})
        self.assertEqual(self.engine.queried, 2)


if __name__ == '__main__':
    unittest.main()
