"""Calls of many engines at once."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

from snipebend.balancing import direct_http
from snipebend.balancing.direct_http import DirectHttp

RANKS = 192
PATIENCE_S = 60
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class LateEngines:
    """Answers nobody before all have asked."""

    def __init__(self):
        self._asked = 0
        self._all_asked = asyncio.Event()

    async def serve(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        self._asked += 1
        if self._asked == RANKS:
            self._all_asked.set()
        await self._all_asked.wait()
        writer.write(ANSWER)
        await writer.drain()
        writer.close()


class TestManyAtOnce(unittest.IsolatedAsyncioTestCase):
    """No rank waits for a connection that another one has."""

    async def test_all_ranks_are_asked_at_once(self):
        engines = LateEngines()
        server = await asyncio.start_server(engines.serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()[:2]
        upstream = SimpleNamespace(identity='r', address=f'{host}:{port}')
        http = DirectHttp()
        with mock.patch.object(direct_http, 'CALL_TIMEOUT_S', PATIENCE_S):
            answers = await asyncio.gather(
                *(http.read(upstream, '/', {}) for _ in range(RANKS))
            )
        self.assertEqual(set(answers), {b'ok'})
        await http.close()
        server.close()


if __name__ == '__main__':
    unittest.main()
