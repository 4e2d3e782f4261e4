"""Guards against an entry process that sends a fatal request on and on.

The request ends each upstream that runs it, and its caller sends it again with
another id.
"""

from __future__ import annotations

import tempfile
import unittest
from itertools import count

from tests.platform.deployment import answer, config, deployment

FATAL_PATH = '/a/fatal'
LIMIT = 3
UPSTREAMS = 6


class TestQuarantine(unittest.IsolatedAsyncioTestCase):
    """The fatal request is refused at once, and others are served."""

    async def start_upstream(self, cluster, number):
        """Start an upstream that ends when it begins to run the request."""

        async def script(req, writer):
            if FATAL_PATH in req.line:
                self.ended += 1
                await upstream.stop()
                return False
            writer.write(answer(req))
            return True

        upstream = await cluster.start_upstream(script)
        await cluster.send_heartbeat(f'i-{number}', upstream)

    async def send_until_refused(self, cluster):
        """Send the request again until it is refused or too much has ended."""
        for attempt in count():
            response = await cluster.send_request(
                path=FATAL_PATH, request_id=f'fatal-{attempt}'
            )
            if b'ended under' in response.body or self.ended > LIMIT:
                break
        return response

    async def test_request_that_ends_upstreams_is_refused(self):
        self.ended = 0
        with tempfile.TemporaryDirectory() as folder:
            async with deployment(folder) as cluster:
                await cluster.call('/-/config/put', config(4, '/a/'))
                for number in range(UPSTREAMS):
                    await self.start_upstream(cluster, number)
                await cluster.send_until(200)
                refused = await self.send_until_refused(cluster)
                await cluster.send_until(200)
        self.assertEqual(self.ended, LIMIT)
        self.assertEqual(refused.status, 503)
        self.assertGreater(float(refused.headers['retry-after']), 60)


if __name__ == '__main__':
    unittest.main()
