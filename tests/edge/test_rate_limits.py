"""Prevents calls, among them retries, that exceed an announced limit.

An upstream announces its limit in a response or a refusal, possibly to another
entry. Further calls must go to other upstreams; if all are limited, a request
must be refused at once.
"""

from __future__ import annotations

import unittest

from snipebend.relay.rate_limit_table import LimitReport
from tests.edge.relay_fixture import (
    request,
    respond_ok,
    respond_with,
    running,
    send_request,
)

#: A limit of zero: one call in four seconds, so none within a test.
LIMIT_HEADERS = 'X-Proof: p\r\nX-Limit: 0\r\n'


announce_limit = respond_with(extra=LIMIT_HEADERS)
refuse_and_announce_limit = respond_with(
    b'', '503 Busy', 'X-Not-Run: 1\r\nX-Limit: 0\r\n'
)


class TestLimits(unittest.IsolatedAsyncioTestCase):
    """Calls over a limit go to other upstreams or are refused."""

    async def test_other_upstreams_serve_the_calls(self):
        async with running(announce_limit, respond_ok) as relay:
            got = [
                await send_request(relay, request('/unsafe/'))
                for _ in range(12)
            ]
            counts = [len(one.requests) for one in relay.upstreams]
        self.assertEqual({one.status for one in got}, {200})
        self.assertEqual(counts, [1, 11])

    async def test_retries_keep_to_the_limit(self):
        async with running(refuse_and_announce_limit, respond_ok) as relay:
            got = [
                await send_request(relay, request('/safe/')) for _ in range(12)
            ]
            counts = [len(one.requests) for one in relay.upstreams]
        self.assertEqual({one.status for one in got}, {200})
        self.assertEqual(counts, [1, 12])

    async def test_refused_at_once_if_all_are_limited(self):
        async with running(announce_limit, announce_limit) as relay:
            for _ in range(2):
                await send_request(relay, request('/unsafe/'))
            got = await send_request(relay, request('/unsafe/'))
            counts = [len(one.requests) for one in relay.upstreams]
        self.assertEqual(got.status, 503)
        self.assertIn(b'not-run', got.body)
        # The next call may begin in four seconds.
        self.assertGreater(float(got.headers['retry-after']), 2)
        self.assertEqual(counts, [1, 1])

    async def test_limit_received_by_another_entry(self):
        async with running(respond_ok, announce_limit) as relay:
            reports = {'i-0': LimitReport(5, 0.1, 0.0)}
            relay.service.apply_limits('e2', 1.0, reports)
            got = [
                await send_request(relay, request('/unsafe/')) for _ in range(3)
            ]
            counts = [len(one.requests) for one in relay.upstreams]
        self.assertEqual([one.status for one in got], [200, 503, 503])
        self.assertEqual(counts, [0, 1])


if __name__ == '__main__':
    unittest.main()
