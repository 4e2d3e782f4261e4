"""Guards against a request that ends upstream after upstream.

Its caller sends it again and again, each time with another id. Entries must
recognize it, tell each other, and refuse it after three upstreams have ended
under it, while they serve what merely ran beside it.
"""

from __future__ import annotations

import unittest

from tests.edge.relay_fixture import (
    request,
    respond_ok,
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
        async with running(*scripts) as relay:
            bind_upstreams(relay, scripts)
            for attempt in range(ATTEMPTS):
                got = await send_fatal(relay, attempt)
            ended = count_ended(relay)
            harmless = await send_request(relay, request('/safe/'))
        self.assertEqual(ended, LIMIT)
        self.assertEqual(got.status, 503)
        self.assertIn(b'not-run', got.body)
        self.assertEqual(harmless.status, 200)


if __name__ == '__main__':
    unittest.main()
