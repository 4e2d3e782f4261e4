"""Requests through a relay to upstreams that name a limit."""

from __future__ import annotations

import unittest

from snipebend.relay.rate_limit_table import LimitReport
from tests.edge.rig import answering, ask, request, running, whole

#: Of nothing: one call each four seconds, so none within a test.
NAMES_LIMIT = 'X-Proof: p\r\nX-Limit: 0\r\n'


in_need = answering(extra=NAMES_LIMIT)
full_and_in_need = answering(b'', '503 Busy', 'X-Not-Run: 1\r\nX-Limit: 0\r\n')


class TestLimits(unittest.IsolatedAsyncioTestCase):
    """What a limit leaves no room for goes to others, or is refused."""

    async def test_others_take_the_work(self):
        async with running(in_need, whole) as relay:
            got = [await ask(relay, request('/unsafe/')) for _ in range(12)]
            seen = [len(one.seen) for one in relay.upstreams]
        self.assertEqual({one.status for one in got}, {200})
        self.assertEqual(seen, [1, 11])

    async def test_a_retry_keeps_to_the_limit(self):
        async with running(full_and_in_need, whole) as relay:
            got = [await ask(relay, request('/safe/')) for _ in range(12)]
            seen = [len(one.seen) for one in relay.upstreams]
        self.assertEqual({one.status for one in got}, {200})
        self.assertEqual(seen, [1, 12])

    async def test_refused_at_once_where_all_are_limited(self):
        async with running(in_need, in_need) as relay:
            for _ in range(2):
                await ask(relay, request('/unsafe/'))
            got = await ask(relay, request('/unsafe/'))
            seen = [len(one.seen) for one in relay.upstreams]
        self.assertEqual(got.status, 503)
        self.assertIn(b'not-run', got.body)
        # The next call may begin in four seconds.
        self.assertGreater(float(got.headers['retry-after']), 2)
        self.assertEqual(seen, [1, 1])

    async def test_what_others_heard_counts_here(self):
        async with running(whole, in_need) as relay:
            told = {'i-0': LimitReport(5, 0.1, 0.0)}
            relay.desk.apply_limits('e2', 1.0, told)
            got = [await ask(relay, request('/unsafe/')) for _ in range(3)]
            seen = [len(one.seen) for one in relay.upstreams]
        self.assertEqual([one.status for one in got], [200, 503, 503])
        self.assertEqual(seen, [0, 1])


if __name__ == '__main__':
    unittest.main()
