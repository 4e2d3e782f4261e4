"""Guards against an entry process that sends a crashing prompt part on and on.

Several callers send requests that share the part and nothing else; each
upstream that begins to run one of them ends, and another comes in its place.
"""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from itertools import count

from tests.edge.crashing_upstreams import CrashingUpstream
from tests.platform.deployment import answer, config, deployment

UPSTREAMS = 14
BAD_CALLERS = 4
SOUND_CALLERS = 4
REQUESTS_PER_CALLER = 25
#: After this many ends, at most ``MAX_LATER`` further requests may arrive.
ENDS = 5
MAX_LATER = 3
BAD = 'bad0'


class Upstream(CrashingUpstream):
    """Counts the requests with the part that arrive after some ends."""

    def __init__(self, test):
        super().__init__(test.crashes)
        self._test = test

    async def _respond(self, req, writer):
        self._writers.add(writer)
        if self._crashes(req):
            await self.end()
            await self._test.replace()
            return False
        writer.write(answer(req))
        return True


class TestCrashingParts(unittest.IsolatedAsyncioTestCase):
    """Requests with the part stop, and sound ones are served."""

    def setUp(self):
        self.ended = 0
        self.sent = {}
        self.later = 0
        self.numbers = count()
        self.statuses = []

    def crashes(self, req):
        """Return whether the request has the part; count it."""
        if BAD not in req.headers['snipebend-prompt-prefix']:
            return False
        self.later += self.sent[req.headers['snipebend-attempt-id']] >= ENDS
        return True

    async def replace(self):
        """Start another upstream in the place of one that has ended."""
        self.ended += 1
        await self.start_upstream()

    async def start_upstream(self):
        upstream = Upstream(self)
        await upstream.start()
        self.addAsyncCleanup(upstream.stop)
        identity = f'i-{next(self.numbers)}'
        await self.cluster.send_heartbeat(identity, upstream)

    async def send(self, *parts):
        """Send a request unlike all others; return its status."""
        number = next(self.numbers)
        request_id = f'r{number}'
        self.sent[request_id] = self.ended
        prefix = ','.join(f'{part}:10' for part in (*parts, f'{number:x}'))
        got = await self.cluster.send_request(
            path=f'/a/{number}',
            request_id=request_id,
            headers=f'Snipebend-Prompt-Prefix: {prefix}\r\n',
        )
        return got.status

    async def send_bad(self):
        for _ in range(REQUESTS_PER_CALLER):
            await self.send('a', BAD, 'c')

    async def send_sound(self):
        for _ in range(REQUESTS_PER_CALLER):
            ended = self.ended
            self.statuses.append((ended, await self.send('a', 'c')))

    async def test_requests_with_a_crashing_part_stop(self):
        with tempfile.TemporaryDirectory() as folder:
            async with deployment(folder) as cluster:
                self.cluster = cluster
                await self.cluster.call('/-/config/put', config(4, '/a/'))
                for _ in range(UPSTREAMS):
                    await self.start_upstream()
                await self.cluster.send_until(
                    200, headers='Snipebend-Prompt-Prefix: a:1,b:1\r\n'
                )
                bad = [self.send_bad() for _ in range(BAD_CALLERS)]
                sound = [self.send_sound() for _ in range(SOUND_CALLERS)]
                await asyncio.gather(*bad, *sound)
                last = [await self.send('a', 'c') for _ in range(UPSTREAMS)]
        later = [status for ended, status in self.statuses if ended >= ENDS]
        self.assertLessEqual(self.later, MAX_LATER)
        self.assertGreaterEqual(2 * later.count(200), len(later))
        self.assertEqual(last, [200 for _ in last])


if __name__ == '__main__':
    unittest.main()
