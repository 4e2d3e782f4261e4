"""Streams leave a rank that has become slow, each event once and in order.

A stream that stays delays all streams of the group. A stream that may not be
resumed, or for which there is no retry, must not be broken off.
"""

from __future__ import annotations

import asyncio
import unittest

from snipebend.state.host_updates import GroupPhase, UpstreamGroupStatus
from tests.edge.relay_fixture import (
    LAST_CHUNK,
    encode_chunk,
    make_event,
    once,
    request,
    running,
    send_request,
    stream_head,
)
from tests.edge.test_relay import events

#: Turns of the event loop in which the entry reads what was written.
LOOP_TURNS = 50
WHOLE = b''.join(make_event(number) for number in (1, 2, 3))


class SlowRank:
    """Pauses its stream until the group's status is known."""

    def __init__(self, event=make_event):
        self.event = event
        self.is_first_sent = asyncio.Event()
        self.is_status_known = asyncio.Event()

    async def script(self, req, writer):
        """Write the first event, and the others once the status is known."""
        writer.write(stream_head(req) + encode_chunk(self.event(1)))
        self.is_first_sent.set()
        await self.is_status_known.wait()
        writer.write(encode_chunk(self.event(2)))
        await writer.drain()
        # The entry has to read the second event before the end arrives.
        for _ in range(LOOP_TURNS):
            await asyncio.sleep(0)
        writer.write(encode_chunk(self.event(3)) + LAST_CHUNK)
        await writer.drain()
        return True


class EndingRank(SlowRank):
    """Ends its stream with the next write."""

    async def script(self, req, writer):
        """Write the first event, and the rest at once."""
        self.is_first_sent.set()
        await self.is_status_known.wait()
        body = b''.join(encode_chunk(self.event(one)) for one in (1, 2, 3))
        writer.write(stream_head(req) + body + LAST_CHUNK)
        await writer.drain()
        return True


def make_event_without_id(number):
    """Return one event after which no stream can be resumed."""
    return b'data: piece %d\n\n' % number


async def call_with_a_slow_rank(path, *, slow_ranks=1, prepare=None, rank=None):
    """Slow down the rank that runs a request; return its response.

    Also returns the number of calls, and the event after which the last one was
    to resume.
    """
    rank = rank or SlowRank()
    script = once(rank.script, events(1, 2, 3))
    async with running(script, script, script) as relay:
        budget = relay.service._budget('s')
        budget._balance = budget.balance_cap
        if prepare is not None:
            prepare(relay.service)
        response = asyncio.ensure_future(send_request(relay, request(path)))
        await rank.is_first_sent.wait()
        identities = [f'i-{number}' for number in range(3)]
        busy = next(
            number
            for number, upstream in enumerate(relay.upstreams)
            if upstream.requests
        )
        slow = (identities[busy:] + identities[:busy])[:slow_ranks]
        relay.service._upstreams.apply_group_statuses(
            [
                UpstreamGroupStatus(
                    'g', 's', GroupPhase.OPEN, tuple(identities), tuple(slow)
                )
            ]
        )
        rank.is_status_known.set()
        got = await response
        requests = [one for each in relay.upstreams for one in each.requests]
        resumed = [
            one.headers['x-after']
            for one in requests
            if 'x-after' in one.headers
        ]
        return got, len(requests), resumed


class TestMoves(unittest.IsolatedAsyncioTestCase):
    """A stream is moved if that is allowed and the group is faster then."""

    async def test_a_stream_leaves_a_slow_rank(self):
        got, calls, resumed = await call_with_a_slow_rank('/stream/')
        self.assertTrue(got.complete)
        self.assertEqual(got.body, WHOLE)
        self.assertEqual(calls, 2)
        # The status may be known before or after the first event is received.
        self.assertIn(resumed, (['1'], ['2']))

    async def test_a_stream_that_may_not_be_resumed_stays(self):
        got, calls, _ = await call_with_a_slow_rank('/once/')
        self.assertTrue(got.complete)
        self.assertEqual((got.body, calls), (WHOLE, 1))

    async def test_a_stream_stays_if_many_ranks_are_slow(self):
        got, calls, _ = await call_with_a_slow_rank('/stream/', slow_ranks=2)
        self.assertTrue(got.complete)
        self.assertEqual((got.body, calls), (WHOLE, 1))

    async def test_a_stream_without_event_ids_stays(self):
        """Its caller would receive events twice."""
        got, calls, _ = await call_with_a_slow_rank(
            '/stream/', rank=SlowRank(make_event_without_id)
        )
        self.assertTrue(got.complete)
        self.assertEqual(
            (got.body, calls),
            (b''.join(map(make_event_without_id, (1, 2, 3))), 1),
        )

    async def test_a_stream_whose_end_has_arrived_stays(self):
        got, calls, _ = await call_with_a_slow_rank(
            '/stream/', rank=EndingRank()
        )
        self.assertTrue(got.complete)
        self.assertEqual((got.body, calls), (WHOLE, 1))

    async def test_half_of_the_retries_are_kept_for_broken_calls(self):
        def spend_most(service):
            budget = service._budget('s')
            budget._balance = budget.balance_cap / 2

        got, calls, _ = await call_with_a_slow_rank(
            '/stream/', prepare=spend_most
        )
        self.assertTrue(got.complete)
        self.assertEqual((got.body, calls), (WHOLE, 1))

    async def test_a_stream_stays_without_a_retry(self):
        def refuse_retries(service):
            service.acquire_move = lambda _: False

        got, calls, _ = await call_with_a_slow_rank(
            '/stream/', prepare=refuse_retries
        )
        self.assertTrue(got.complete)
        self.assertEqual((got.body, calls), (WHOLE, 1))


if __name__ == '__main__':
    unittest.main()
