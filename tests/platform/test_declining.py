"""The platform's entry before upstreams that want no work, as processes."""

from __future__ import annotations

import asyncio
import tempfile
import unittest

from tests.platform.deployment import answer, config, deployment
from tests.programs import WAIT_TIMEOUT_S

#: Requests beside the first one that is served.
NUMBER = 8
RESTS = (
    'HTTP/1.1 503 Busy\r\nSnipebend-Not-Executed: 1\r\nRetry-After: 60\r\n'
    'Content-Length: 0\r\n\r\n'
).encode()


async def whole(req, writer):
    writer.write(answer(req))
    return True


async def rests(req, writer):
    writer.write(RESTS)
    return True


async def leaves(req, writer):
    head = b'HTTP/1.1 200 OK\r\nServer-Leaving: 1'
    writer.write(answer(req).replace(b'HTTP/1.1 200 OK', head))
    return True


class TestDeclining(unittest.IsolatedAsyncioTestCase):
    """What upstreams say in answers reaches the choice of the next call."""

    async def seen_by(self, script):
        """Return how many requests the second of two upstreams got."""
        with tempfile.TemporaryDirectory() as folder:
            async with deployment(folder) as made:
                serving = await made.start_upstream(whole)
                await made.call('/-/config/put', config(4, '/a/'))
                await made.beat('i-1', serving)
                await made.ask_until(200)
                declining = await made.start_upstream(script)
                await made.beat('i-2', declining)
                await self.ask_until_seen(made, declining)
                for _ in range(NUMBER):
                    got = await made.ask()
                    self.assertEqual(got.status, 200)
                return len(declining.requests)

    async def ask_until_seen(self, made, upstream):
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not upstream.requests:
                await made.ask_until(200)

    async def test_no_request_in_a_rest(self):
        self.assertEqual(await self.seen_by(rests), 1)

    async def test_no_request_after_it_said_that_it_leaves(self):
        self.assertEqual(await self.seen_by(leaves), 1)


if __name__ == '__main__':
    unittest.main()
