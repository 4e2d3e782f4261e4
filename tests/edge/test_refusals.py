"""Requests through a relay to upstreams that refuse at once."""

from __future__ import annotations

import unittest

from tests.edge.rig import answering, ask, request, running, whole

NUMBER = 20


refuses = answering(b'', '503 Busy', 'X-Not-Run: 1\r\n')


class TestRefusals(unittest.IsolatedAsyncioTestCase):
    """One that refuses doesn't draw the calls that others could take."""

    async def test_a_refusing_upstream_draws_no_calls_by_being_idle(self):
        async with running(refuses, whole) as relay:
            # None of the pauses ends within the test.
            relay.desk.now = lambda: 1000.0
            got = [await ask(relay, request('/unsafe/')) for _ in range(NUMBER)]
            seen = [len(one.seen) for one in relay.upstreams]
        self.assertEqual({one.status for one in got}, {200})
        self.assertEqual(seen, [1, NUMBER])

    async def test_it_gets_what_the_others_have_no_room_for(self):
        async with running(refuses) as relay:
            for _ in range(2):
                await ask(relay, request('/unsafe/'))
            seen = len(relay.upstreams[0].seen)
        self.assertEqual(seen, 2)


if __name__ == '__main__':
    unittest.main()
