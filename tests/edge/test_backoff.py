"""Guards against calls to upstreams that have requested a backoff.

An upstream requests a backoff in a refusal. Later requests can still select it,
and a call that waits for its connection at that moment can still be sent. If
all upstreams back off, a request must be refused at once with the time of the
earliest retry.
"""

from __future__ import annotations

import unittest

from snipebend.relay.retry_after import BUSY_MAX_S
from tests.edge.relay_fixture import (
    request,
    respond_ok,
    respond_with,
    running,
    send_request,
)

#: Seconds; longer than any of these tests.
BACKOFF_S = 60
BACKOFF_HEADERS = f'X-Not-Run: 1\r\nX-Rest: {BACKOFF_S}\r\n'


request_backoff = respond_with(b'', '503 Busy', BACKOFF_HEADERS)


class TestBackoff(unittest.IsolatedAsyncioTestCase):
    """An upstream that requested a backoff gets no calls from the entry."""

    async def test_no_calls_during_a_backoff(self):
        async with running(request_backoff, respond_ok) as relay:
            got = [
                await send_request(relay, request('/safe/')) for _ in range(12)
            ]
            counts = [len(one.requests) for one in relay.upstreams]
        self.assertEqual({one.status for one in got}, {200})
        self.assertEqual(counts, [1, 12])

    async def test_refused_at_once_if_all_back_off(self):
        async with running(request_backoff, request_backoff) as relay:
            await send_request(relay, request('/unsafe/'))
            got = await send_request(relay, request('/unsafe/'))
            counts = [len(one.requests) for one in relay.upstreams]
        self.assertEqual(got.status, 503)
        self.assertIn(b'not-run', got.body)
        self.assertEqual(counts, [1, 1])

    async def test_retry_time_is_the_first_end_of_a_backoff(self):
        async with running(request_backoff, request_backoff) as relay:
            got = [
                await send_request(relay, request('/unsafe/')) for _ in range(2)
            ]
        for one in got:
            retry_after_s = float(one.headers['retry-after'])
            self.assertGreater(retry_after_s, BACKOFF_S - 5)
            self.assertLessEqual(retry_after_s, BACKOFF_S + BUSY_MAX_S)

    async def test_backoff_that_begins_while_a_call_waits_for_its_connection(
        self,
    ):
        async with running(respond_ok) as relay:
            upstream = relay.service._upstreams.find('i-0')
            acquire = relay.service.pool.acquire

            async def acquire_during_backoff(*args, **kwargs):
                conn = await acquire(*args, **kwargs)
                upstream.record_backoff(relay.service.now() + BACKOFF_S)
                return conn

            relay.service.pool.acquire = acquire_during_backoff
            got = await send_request(relay, request('/safe/'))
            received = relay.upstreams[0].requests
            idle = relay.service.pool.count_idle()
        self.assertEqual(got.status, 503)
        self.assertEqual(received, [])
        self.assertEqual(idle, {'i-0': 1})

    async def test_call_that_was_not_sent_spends_no_retry(self):
        async with running(respond_ok, respond_ok) as relay:
            for upstream in relay.service._upstreams:
                upstream.slow = upstream.record.identity == 'i-1'
            acquire = relay.service.pool.acquire

            async def acquire_during_backoff(identity, *args, **kwargs):
                conn = await acquire(identity, *args, **kwargs)
                if identity == 'i-0':
                    upstream = relay.service._upstreams.find(identity)
                    upstream.record_backoff(relay.service.now() + BACKOFF_S)
                return conn

            relay.service.pool.acquire = acquire_during_backoff
            relay.service.acquire_retry = lambda service: False
            got = await send_request(relay, request('/unsafe/'))
            counts = [len(one.requests) for one in relay.upstreams]
        self.assertEqual(got.status, 200)
        self.assertEqual(counts, [0, 1])


if __name__ == '__main__':
    unittest.main()
