"""An evacuated data centre must get nothing more, and loses nothing it runs.

News of an evacuation can arrive before a request, while a call waits for its
connection, between two calls of a request, or in the middle of a stream. It can
come from a control daemon that lags, and after an entry has started.
"""

from __future__ import annotations

import asyncio
import unittest

from snipebend.edge.evacuations import EvacuationTracker
from snipebend.relay.retry_after import BUSY_MAX_S
from snipebend.edge.upstream_chooser import EVACUATED_RETRY_S
from snipebend.state.evacuations import EvacuationOrder
from snipebend.state.host_updates import EvacuationNews
from snipebend.state.roster import UpstreamRecord
from tests.edge.document_fixture import Deployment
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

fail = respond_with(b'', '500 Failed')


def place(relay, number, data_center):
    """Announce an upstream of the test in another data centre."""
    identity = f'i-{number}'
    relay.service._upstreams._drop(identity)
    address = relay.upstreams[number].address
    record = UpstreamRecord(identity, 's', address, data_center, 4)
    relay.follower.on_upstreams((record,))


def evacuate(relay, *data_centers):
    """Apply news from a control daemon."""
    tracker = relay.follower.evacuations
    revision = tracker.dump()['revision'] + 1
    tracker.apply(EvacuationNews(revision, data_centers), 'c')


def counts(relay):
    return [len(one.requests) for one in relay.upstreams]


class TestCalls(unittest.IsolatedAsyncioTestCase):
    """Upstream 0 is in dc-a, with the entry, and upstream 1 in dc-b."""

    async def test_no_first_calls_until_it_ends(self):
        async with running(respond_ok, respond_ok) as relay:
            place(relay, 1, 'dc-b')
            evacuate(relay, 'dc-a')
            got = [
                await send_request(relay, request('/unsafe/')) for _ in range(6)
            ]
            self.assertEqual({one.status for one in got}, {200})
            self.assertEqual(counts(relay), [0, 6])
            self.assertEqual(relay.upstreams[0].connections, 0)
            evacuate(relay)
            await send_request(relay, request('/unsafe/'))
            # Among idle upstreams that of the entry's data centre is preferred.
            self.assertEqual(counts(relay), [1, 6])

    async def test_refused_at_once_if_all_are_evacuated(self):
        async with running(respond_ok, respond_ok) as relay:
            place(relay, 1, 'dc-b')
            evacuate(relay, 'dc-a', 'dc-b')
            got = await send_request(relay, request('/unsafe/'))
            self.assertEqual(counts(relay), [0, 0])
        self.assertEqual(got.status, 503)
        self.assertIn(b'not-run', got.body)
        self.assertLessEqual(
            float(got.headers['retry-after']), EVACUATED_RETRY_S + BUSY_MAX_S
        )

    async def test_no_retries(self):
        async with running(respond_ok, fail) as relay:
            place(relay, 1, 'dc-b')
            evacuate(relay, 'dc-a')
            got = await send_request(relay, request('/safe/'))
            self.assertEqual(counts(relay), [0, 1])
        self.assertEqual(got.status, 500)

    async def test_no_resumed_streams(self):
        async def break_off(req, writer):
            writer.write(stream_head(req) + encode_chunk(make_event(1)))
            await writer.drain()
            evacuate(relay, 'dc-a')
            return False

        async with running(respond_ok, break_off) as relay:
            place(relay, 1, 'dc-b')
            relay.service._upstreams.find('i-0').slow = True
            got = await send_request(relay, request('/stream/'))
            self.assertEqual(counts(relay), [0, 1])
        self.assertFalse(got.complete)

    async def test_no_call_that_was_chosen_and_not_yet_sent(self):
        async with running(respond_ok, respond_ok) as relay:
            place(relay, 1, 'dc-b')
            acquire = relay.service.pool.acquire

            async def acquire_and_evacuate(identity, *args, **kwargs):
                conn = await acquire(identity, *args, **kwargs)
                if identity == 'i-0':
                    evacuate(relay, 'dc-a')
                return conn

            relay.service.pool.acquire = acquire_and_evacuate
            relay.service.acquire_retry = lambda service: False
            got = await send_request(relay, request('/unsafe/'))
            self.assertEqual(counts(relay), [0, 1])
        self.assertEqual(got.status, 200)

    async def test_what_runs_there_ends_there(self):
        started = asyncio.Event()
        proceed = asyncio.Event()

        async def stream(req, writer):
            writer.write(stream_head(req) + encode_chunk(make_event(1)))
            started.set()
            await proceed.wait()
            writer.write(encode_chunk(make_event(2)) + encode_chunk(b''))
            return True

        async with running(stream, respond_ok) as relay:
            place(relay, 1, 'dc-b')
            sending = asyncio.create_task(
                send_request(relay, request('/stream/'))
            )
            async with asyncio.timeout(TIMEOUT_S):
                await started.wait()
                evacuate(relay, 'dc-a')
                await send_request(relay, request('/unsafe/'))
                proceed.set()
                got = await sending
            self.assertEqual(counts(relay), [1, 1])
        self.assertTrue(got.complete)
        self.assertEqual(got.body, make_event(1) + make_event(2))


class TestGauge(unittest.IsolatedAsyncioTestCase):
    """Operators see which upstreams an evacuation closes."""

    async def test_upstreams_by_state(self):
        async with running(respond_ok, respond_ok) as relay:
            place(relay, 1, 'dc-b')
            evacuate(relay, 'dc-b')
            counted = relay.service.meters._sources.upstreams()
            self.assertEqual(counted, {'open': 1, 'evacuated': 1})
            evacuate(relay)
            counted = relay.service.meters._sources.upstreams()
            self.assertEqual(counted, {'open': 2})


class TestTracker(unittest.TestCase):
    """The latest news counts, whoever sends it."""

    def test_earlier_news_changes_nothing(self):
        tracker = EvacuationTracker()
        tracker.apply(EvacuationNews(), 'of an earlier version')
        tracker.apply(EvacuationNews(4, ('dc-a',)), 'c-1')
        tracker.apply(EvacuationNews(3, ('dc-b',)), 'c-2')
        tracker.apply(EvacuationNews(), 'c-3')
        self.assertEqual(tracker.data_centers, {'dc-a'})
        tracker.apply(EvacuationNews(5), 'c-2')
        self.assertEqual(tracker.data_centers, frozenset())


class TestFollower(unittest.IsolatedAsyncioTestCase):
    """An entry hears of evacuations from any control daemon."""

    def execute(self, daemon, evacuate, after):
        state = daemon.state.local_machine.state.evacuations
        state.execute(EvacuationOrder('dc-a', evacuate, after), 1.0)
        daemon.state.notify_changed()

    async def test_from_the_first_update_before_any_document(self):
        deployment = Deployment(2)
        daemon = deployment.daemons[0]
        async with deployment, asyncio.timeout(TIMEOUT_S):
            self.execute(daemon, evacuate=True, after=0)
            known = deployment.follower.evacuations
            await deployment.wait_until(lambda: known.data_centers)
            self.assertIsNone(deployment.follower.index)
            # The other daemon lags, and its updates end nothing.
            await deployment.wait_for_updates('later')
            self.assertEqual(known.data_centers, {'dc-a'})
            self.execute(daemon, evacuate=False, after=1)
            await deployment.wait_until(lambda: not known.data_centers)


if __name__ == '__main__':
    unittest.main()
