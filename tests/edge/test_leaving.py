"""Requests through a relay to upstreams that say in answers that they leave."""

from __future__ import annotations

import asyncio
import unittest

from tests.edge.rig import (
    PATIENCE_S,
    answering,
    ask,
    chunk,
    event,
    request,
    running,
    stream_head,
    whole,
)

LEAVES = 'X-Proof: p\r\nX-Leaving: 1\r\n'


leaving = answering(extra=LEAVES)
leaving_and_failing = answering(b'', '500 Failed', LEAVES)
of_another_life = answering(b'', '421 Other', 'X-Leaving: 1\r\n')


async def leaving_stream(req, writer):
    head = stream_head(req).replace(b'X-Proof', b'X-Leaving: 1\r\nX-Proof')
    writer.write(head + chunk(event(1)) + chunk(b''))
    return True


class TestLeaving(unittest.IsolatedAsyncioTestCase):
    """One that leaves gets no new work, whoever else knows of it."""

    async def seen(self, script, path, number=8):
        """Return how many requests each upstream got."""
        async with running(script, whole) as relay:
            for _ in range(number):
                await ask(relay, request(path))
            return [len(one.seen) for one in relay.upstreams]

    async def test_no_calls_of_an_upstream_that_said_it_leaves(self):
        self.assertEqual(await self.seen(leaving, '/unsafe/'), [1, 7])

    async def test_said_as_it_fails(self):
        self.assertEqual(await self.seen(leaving_and_failing, '/safe/'), [1, 8])

    async def test_said_at_the_head_of_a_stream(self):
        self.assertEqual(await self.seen(leaving_stream, '/stream/'), [1, 7])

    async def test_refused_at_once_where_all_leave(self):
        async with running(leaving) as relay:
            await ask(relay, request('/unsafe/'))
            got = await ask(relay, request('/unsafe/'))
            seen = len(relay.upstreams[0].seen)
        self.assertEqual((got.status, seen), (503, 1))
        self.assertIn(b'not-run', got.body)

    async def test_another_lifes_words_are_not_its_own(self):
        async with running(of_another_life, whole) as relay:
            for _ in range(4):
                await ask(relay, request('/safe/'))
            upstream = relay.desk._upstreams.find('i-0')
        self.assertTrue(upstream.displaced)
        self.assertFalse(upstream.leaving)

    async def test_heard_after_its_caller_has_left(self):
        started = asyncio.Event()
        go_on = asyncio.Event()

        async def late(req, writer):
            started.set()
            await go_on.wait()
            return await leaving(req, writer)

        async with running(late) as relay:
            heard = relay.hear_answers()
            _, writer = await relay.connect()
            writer.write(request('/unsafe/'))
            async with asyncio.timeout(PATIENCE_S):
                await started.wait()
                writer.close()
                await writer.wait_closed()
                go_on.set()
                upstream = await heard.get()
            self.assertTrue(upstream.leaving)


if __name__ == '__main__':
    unittest.main()
