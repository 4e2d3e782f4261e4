"""Guards against requests to upstreams that have declined further ones.

An upstream declines by ``Retry-After`` or ``Server-Leaving`` in a response. If
the adapter does not read one of them, the entry process keeps selecting the
upstream.
"""

from __future__ import annotations

import asyncio
import tempfile
import unittest

from tests.platform.deployment import answer, config, deployment
from tests.programs import WAIT_TIMEOUT_S

#: Requests sent after the declining upstream received its first one.
REQUESTS = 8
RETRY_LATER = (
    'HTTP/1.1 503 Busy\r\nSnipebend-Not-Executed: 1\r\nRetry-After: 60\r\n'
    'Content-Length: 0\r\n\r\n'
).encode()


async def serve(req, writer):
    writer.write(answer(req))
    return True


async def refuse_for_a_minute(req, writer):
    writer.write(RETRY_LATER)
    return True


async def serve_and_leave(req, writer):
    head = b'HTTP/1.1 200 OK\r\nServer-Leaving: 1'
    writer.write(answer(req).replace(b'HTTP/1.1 200 OK', head))
    return True


class TestDeclining(unittest.IsolatedAsyncioTestCase):
    """Response headers of an upstream affect the choice for the next call.

    Retry-After and Server-Leaving both exclude the upstream.
    """

    async def requests_received(self, script):
        """Return how many requests the second of two upstreams received."""
        with tempfile.TemporaryDirectory() as folder:
            async with deployment(folder) as cluster:
                serving = await cluster.start_upstream(serve)
                await cluster.call('/-/config/put', config(4, '/a/'))
                await cluster.send_heartbeat('i-1', serving)
                await cluster.send_until(200)
                declining = await cluster.start_upstream(script)
                await cluster.send_heartbeat('i-2', declining)
                await self.send_until_received(cluster, declining)
                for _ in range(REQUESTS):
                    response = await cluster.send_request()
                    self.assertEqual(response.status, 200)
                return len(declining.requests)

    async def send_until_received(self, cluster, upstream):
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not upstream.requests:
                await cluster.send_until(200)

    async def test_no_request_during_a_backoff(self):
        self.assertEqual(await self.requests_received(refuse_for_a_minute), 1)

    async def test_no_request_after_it_announced_leaving(self):
        self.assertEqual(await self.requests_received(serve_and_leave), 1)


if __name__ == '__main__':
    unittest.main()
