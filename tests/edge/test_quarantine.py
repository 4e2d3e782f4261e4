"""Guards against a request that ends upstream after upstream.

Its caller sends it again and again, each time with another id. Entries must
recognize it, tell each other, and refuse it after three upstreams have ended
under it, while they serve what merely ran beside it.
"""

from __future__ import annotations

import unittest
from itertools import repeat

from snipebend.state.roster import RosterPhase
from tests.edge.relay_fixture import (
    FakeUpstream,
    SteppedClock,
    request,
    respond_ok,
    respond_with,
    running,
    send_request,
)

FATAL = b'fatal'
#: Upstreams that may end before the request is refused.
LIMIT = 3
ATTEMPTS = 8


class EndingUpstream:
    """Ends when it begins to run the fatal request; serves all others."""

    def __init__(self):
        self.upstream = None

    async def __call__(self, req, writer):
        if req.body != FATAL:
            return await respond_ok(req, writer)
        await self.upstream.stop()
        return False


async def reset_all(req, writer):
    """Break each call, and go on listening."""
    return False


async def send_fatal(relay, attempt):
    """Send the fatal request with another id."""
    data = request('/safe/', body=FATAL, x_id=f'r{attempt}')
    return await send_request(relay, data)


def bind_upstreams(relay, scripts):
    """Give each script the upstream that it ends."""
    for script, upstream in zip(scripts, relay.upstreams, strict=True):
        script.upstream = upstream


def count_ended(relay):
    """Return how many upstreams have ended."""
    return sum(not one.server.is_serving() for one in relay.upstreams)


class TestQuarantine(unittest.IsolatedAsyncioTestCase):
    """A request is refused once three upstreams have ended under it."""

    async def test_request_that_ends_upstreams_is_refused(self):
        scripts = [EndingUpstream() for _ in range(ATTEMPTS)]
        # Pauses of ended upstreams last until the test is over.
        async with running(*scripts, clock=SteppedClock()) as relay:
            bind_upstreams(relay, scripts)
            for attempt in range(ATTEMPTS):
                got = await send_fatal(relay, attempt)
            ended = count_ended(relay)
            harmless = await send_request(relay, request('/safe/'))
        self.assertEqual(ended, LIMIT)
        self.assertEqual(got.status, 503)
        self.assertIn(b'not-run', got.body)
        self.assertEqual(harmless.status, 200)

    async def test_other_entry_refuses_what_ended_upstreams_elsewhere(self):
        scripts = [EndingUpstream() for _ in range(LIMIT)]
        async with running(*scripts) as relay, running(respond_ok) as other:
            bind_upstreams(relay, scripts)
            for attempt in range(LIMIT):
                await send_fatal(relay, attempt)
            other.service.apply_crashes(
                'entry-1', relay.service.make_crash_reports()
            )
            got = await send_fatal(other, LIMIT)
            await send_request(other, request('/safe/'))
            served = [req.body for req in other.upstreams[0].requests]
        self.assertEqual(got.status, 503)
        self.assertGreater(float(got.headers['retry-after']), 60)
        self.assertEqual(served, [b'ask'])

    async def test_broken_calls_of_a_living_upstream_do_not_count(self):
        async with running(*repeat(reset_all, ATTEMPTS)) as relay:
            for attempt in range(ATTEMPTS):
                got = await send_fatal(relay, attempt)
            crashes = len(relay.service.crashes)
        self.assertEqual(crashes, 0)
        self.assertNotIn(b'ended under', got.body)

    async def test_upstream_that_is_replaced_has_ended(self):
        async with running(*repeat(reset_all, LIMIT)) as relay:
            for attempt in range(LIMIT):
                await send_fatal(relay, attempt)
            for number, upstream in enumerate(relay.upstreams):
                relay.announce(f'i-new-{number}', upstream.address)
                relay.announce(f'i-{number}', '', RosterPhase.ENDED)
            got = await send_fatal(relay, LIMIT)
        self.assertEqual(got.status, 503)
        self.assertIn(b'not-run', got.body)

    async def test_upstream_that_another_rank_names_has_ended(self):
        async with running(*repeat(reset_all, LIMIT)) as relay:
            for attempt in range(LIMIT):
                await send_fatal(relay, attempt)
            for upstream in relay.upstreams:
                at_fault = f'X-Not-Run: 1\r\nX-At-Fault: {upstream.address}\r\n'
                rank = FakeUpstream(respond_with(b'', '503 Lost', at_fault))
                await rank.start()
                self.addAsyncCleanup(rank.stop)
                for known in relay.service._upstreams:
                    known.paused_until = float('inf')
                relay.announce(f'i-{rank.address}', rank.address)
                await send_request(relay, request('/unsafe/'))
            got = await send_fatal(relay, LIMIT)
        self.assertIn(b'not-run', got.body)
        self.assertIn(b'ended under', got.body)


if __name__ == '__main__':
    unittest.main()
