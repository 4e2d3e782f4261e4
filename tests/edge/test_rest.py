"""Requests through a relay to upstreams that ask for a rest."""

from __future__ import annotations

import unittest

from snipebend.relay.retry_after import BUSY_MAX_S
from tests.edge.rig import answering, ask, request, running, whole

#: Seconds; longer than any of these tests.
REST_S = 60
ASKS_FOR_REST = f'X-Not-Run: 1\r\nX-Rest: {REST_S}\r\n'


in_need_of_rest = answering(b'', '503 Busy', ASKS_FOR_REST)


class TestRest(unittest.IsolatedAsyncioTestCase):
    """An upstream that asked an entry for a rest gets nothing from it."""

    async def test_no_calls_of_an_upstream_in_its_rest(self):
        async with running(in_need_of_rest, whole) as relay:
            got = [await ask(relay, request('/safe/')) for _ in range(12)]
            seen = [len(one.seen) for one in relay.upstreams]
        self.assertEqual({one.status for one in got}, {200})
        self.assertEqual(seen, [1, 12])

    async def test_refused_at_once_where_all_rest(self):
        async with running(in_need_of_rest, in_need_of_rest) as relay:
            await ask(relay, request('/unsafe/'))
            got = await ask(relay, request('/unsafe/'))
            seen = [len(one.seen) for one in relay.upstreams]
        self.assertEqual(got.status, 503)
        self.assertIn(b'not-run', got.body)
        self.assertEqual(seen, [1, 1])

    async def test_told_when_the_first_rest_ends(self):
        async with running(in_need_of_rest, in_need_of_rest) as relay:
            got = [await ask(relay, request('/unsafe/')) for _ in range(2)]
        for one in got:
            told_s = float(one.headers['retry-after'])
            self.assertGreater(told_s, REST_S - 5)
            self.assertLessEqual(told_s, REST_S + BUSY_MAX_S)

    async def test_a_rest_that_begins_while_a_call_waits_for_its_connection(
        self,
    ):
        async with running(whole) as relay:
            upstream = relay.desk._upstreams.find('i-0')
            acquire = relay.desk.pool.acquire

            async def told_meanwhile(*args, **kwargs):
                conn = await acquire(*args, **kwargs)
                upstream.record_backoff(relay.desk.now() + REST_S)
                return conn

            relay.desk.pool.acquire = told_meanwhile
            got = await ask(relay, request('/safe/'))
            seen = relay.upstreams[0].seen
            idle = relay.desk.pool.sizes()
        self.assertEqual(got.status, 503)
        self.assertEqual(seen, [])
        self.assertEqual(idle, {'i-0': 1})

    async def test_a_call_that_was_not_sent_takes_no_retry(self):
        async with running(whole, whole) as relay:
            for upstream in relay.desk._upstreams:
                upstream.slow = upstream.record.identity == 'i-1'
            acquire = relay.desk.pool.acquire

            async def told_meanwhile(identity, *args, **kwargs):
                conn = await acquire(identity, *args, **kwargs)
                if identity == 'i-0':
                    upstream = relay.desk._upstreams.find(identity)
                    upstream.record_backoff(relay.desk.now() + REST_S)
                return conn

            relay.desk.pool.acquire = told_meanwhile
            relay.desk.take_retry = lambda service: False
            got = await ask(relay, request('/unsafe/'))
            seen = [len(one.seen) for one in relay.upstreams]
        self.assertEqual(got.status, 200)
        self.assertEqual(seen, [0, 1])


if __name__ == '__main__':
    unittest.main()
