"""Guards against an upstream that gets most calls because it refuses them.

It responds at once, so it has few calls in progress and seems to be the least
loaded. It must still be called if no other upstream has capacity.
"""

from __future__ import annotations

import unittest

from tests.edge.relay_fixture import (
    request,
    respond_ok,
    respond_with,
    running,
    send_request,
)

REQUESTS = 20


refuse = respond_with(b'', '503 Busy', 'X-Not-Run: 1\r\n')


class TestRefusals(unittest.IsolatedAsyncioTestCase):
    """A refusing upstream does not attract calls that others can serve."""

    async def test_refusing_upstream_attracts_no_calls_by_being_idle(self):
        async with running(refuse, respond_ok) as relay:
            # No pause ends within the test.
            relay.service.now = lambda: 1000.0
            got = [
                await send_request(relay, request('/unsafe/'))
                for _ in range(REQUESTS)
            ]
            counts = [len(one.requests) for one in relay.upstreams]
        self.assertEqual({one.status for one in got}, {200})
        self.assertEqual(counts, [1, REQUESTS])

    async def test_refusing_upstream_is_called_if_no_other_has_capacity(self):
        async with running(refuse) as relay:
            for _ in range(2):
                await send_request(relay, request('/unsafe/'))
            count = len(relay.upstreams[0].requests)
        self.assertEqual(count, 2)


if __name__ == '__main__':
    unittest.main()
