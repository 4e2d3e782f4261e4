"""Guards against an upstream that gets most calls because it breaks them.

It has no calls in progress and seems to be the least loaded. Each entry would
meet it again after each pause, and spend its retries there.
"""

from __future__ import annotations

import unittest

from tests.edge.relay_fixture import (
    request,
    respond_ok,
    running,
    send_request,
)

REQUESTS = 8


async def reset_all(req, writer):
    """Break each call, and go on listening."""
    return False


class TestBreakingUpstreams(unittest.IsolatedAsyncioTestCase):
    """An upstream that breaks calls gets work last, at all entries."""

    async def test_other_entries_do_not_meet_it_again(self):
        async with (
            running(reset_all) as relay,
            running(reset_all, respond_ok) as other,
        ):
            relay.service.now = lambda: 1000.0
            other.service.now = lambda: 1000.0
            await send_request(relay, request('/safe/'))
            reports = relay.service.make_refusal_reports()
            other.service.apply_refusals('entry-1', reports)
            for _ in range(REQUESTS):
                await send_request(other, request('/safe/'))
            counts = [len(one.requests) for one in other.upstreams]
        self.assertEqual(counts, [0, REQUESTS])

    async def test_it_is_called_if_no_other_has_capacity(self):
        async with running(reset_all) as relay:
            times = [1000.0]
            relay.service.now = lambda: times[-1]
            for _ in range(2):
                await send_request(relay, request('/safe/'))
                # Its pause has ended, and it is still avoided.
                times.append(times[-1] + 1.01)
            count = len(relay.upstreams[0].requests)
        self.assertEqual(count, 2)


if __name__ == '__main__':
    unittest.main()
