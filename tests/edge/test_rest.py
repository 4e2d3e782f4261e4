"""Requests through a relay to upstreams that ask for a rest."""

from __future__ import annotations

import unittest

from tests.edge.rig import answer, ask, request, running

#: Seconds; longer than any of these tests.
REST_S = 60
ASKS_FOR_REST = f'X-Not-Run: 1\r\nX-Rest: {REST_S}\r\n'


async def whole(req, writer):
    writer.write(answer(req))
    return True


async def in_need_of_rest(req, writer):
    writer.write(answer(req, b'', '503 Busy', ASKS_FOR_REST))
    return True


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


if __name__ == '__main__':
    unittest.main()
