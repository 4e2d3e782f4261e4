"""An upstream that has announced its shutdown must get no new calls.

The notice can be part of a success, a failure, the head of a stream, or a
response that arrives after its caller has disconnected. Where it is overlooked,
the upstream still gets requests. A notice of another incarnation doesn't apply.
"""

from __future__ import annotations

import asyncio
import unittest

from tests.edge.relay_fixture import (
    TIMEOUT_S,
    encode_chunk,
    make_event,
    request,
    respond_ok,
    respond_with,
    running,
    send_request,
    stream_head,
)

LEAVING_HEADERS = 'X-Proof: p\r\nX-Leaving: 1\r\n'


leaving = respond_with(extra=LEAVING_HEADERS)
leaving_and_failing = respond_with(b'', '500 Failed', LEAVING_HEADERS)
other_incarnation = respond_with(b'', '421 Other', 'X-Leaving: 1\r\n')


async def stream(req, writer):
    body = encode_chunk(make_event(1)) + encode_chunk(b'')
    writer.write(stream_head(req) + body)
    return True


async def leaving_stream(req, writer):
    head = stream_head(req).replace(b'X-Proof', b'X-Leaving: 1\r\nX-Proof')
    writer.write(head + encode_chunk(make_event(1)) + encode_chunk(b''))
    return True


class TestLeaving(unittest.IsolatedAsyncioTestCase):
    """An upstream gets no new work once this entry knows that it leaves."""

    async def count_requests(self, script, path, number=8, other=respond_ok):
        """Return how many requests each upstream got."""
        async with running(script, other) as relay:
            for _ in range(number):
                await send_request(relay, request(path))
            return [len(one.requests) for one in relay.upstreams]

    async def test_no_calls_after_a_notice(self):
        self.assertEqual(await self.count_requests(leaving, '/unsafe/'), [1, 7])

    async def test_notice_in_a_failure(self):
        self.assertEqual(
            await self.count_requests(leaving_and_failing, '/safe/'), [1, 8]
        )

    async def test_notice_in_the_head_of_a_stream(self):
        self.assertEqual(
            await self.count_requests(leaving_stream, '/stream/', other=stream),
            [1, 7],
        )

    async def test_refused_at_once_if_all_leave(self):
        async with running(leaving) as relay:
            await send_request(relay, request('/unsafe/'))
            got = await send_request(relay, request('/unsafe/'))
            count = len(relay.upstreams[0].requests)
        self.assertEqual((got.status, count), (503, 1))
        self.assertIn(b'not-run', got.body)

    async def test_notice_of_another_incarnation_is_ignored(self):
        async with running(other_incarnation, respond_ok) as relay:
            for _ in range(4):
                await send_request(relay, request('/safe/'))
            upstream = relay.service._upstreams.find('i-0')
        self.assertTrue(upstream.displaced)
        self.assertFalse(upstream.leaving)

    async def test_notice_after_the_caller_has_disconnected(self):
        started = asyncio.Event()
        proceed = asyncio.Event()

        async def respond_late(req, writer):
            started.set()
            await proceed.wait()
            return await leaving(req, writer)

        async with running(respond_late) as relay:
            applied = relay.watch_responses()
            _, writer = await relay.connect()
            writer.write(request('/unsafe/'))
            async with asyncio.timeout(TIMEOUT_S):
                await started.wait()
                writer.close()
                await writer.wait_closed()
                proceed.set()
                upstream = await applied.get()
            self.assertTrue(upstream.leaving)


if __name__ == '__main__':
    unittest.main()
