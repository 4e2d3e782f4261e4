"""Requests through a relay to upstreams that misbehave."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from snipebend.hosts.lookup import HostIndex
from snipebend.routing.retry_budget import RESERVE
from snipebend.state.roster import RosterPhase
from tests.edge.rig import (
    TABLE,
    answer,
    ask,
    chunk,
    event,
    read_response,
    request,
    running,
    stream_head,
)


async def whole(req, writer):
    writer.write(answer(req))
    return True


async def cut(req, writer):
    """Close without an answer: it may have run."""
    return False


async def refuses(req, writer):
    writer.write(answer(req, b'', '503 Busy', 'X-Not-Run: 1\r\n'))
    return True


async def fails(req, writer):
    writer.write(answer(req, b'sorry', '500 Broken'))
    return True


async def forged(req, writer):
    """A success without the proof."""
    writer.write(answer(req, extra=''))
    return True


async def half(req, writer):
    writer.write(answer(req, b'a long body')[:-4])
    return False


async def nonsense(req, writer):
    writer.write(b'this is no answer\r\n\r\n')
    return True


async def other_life(req, writer):
    writer.write(answer(req, b'', '421 Misdirected', ''))
    return True


async def stray_first(req, writer):
    """An answer to an earlier request, then the own one."""
    late = answer(req, b'not yours').replace(b'X-Id: r1', b'X-Id: r0')
    writer.write(late + answer(req))
    return True


async def extra_behind(req, writer):
    writer.write(answer(req) + answer(req, b'again'))
    return True


async def never(req, writer):
    await asyncio.Event().wait()


def once(first, then):
    """Follow one script for the first request, another one afterwards."""
    calls = []

    async def script(req, writer):
        calls.append(req)
        return await (first if len(calls) == 1 else then)(req, writer)

    return script


def events(*numbers, then_cut=False):
    """Send these events, each in a chunk."""

    async def script(req, writer):
        after = int(req.headers.get('x-after', 0))
        writer.write(stream_head(req))
        for number in numbers:
            if number > after:
                writer.write(chunk(event(number)))
        if then_cut:
            writer.write(b'1f\r\nid: 9\ndata: ha')
            return False
        writer.write(b'0\r\n\r\n')
        return True

    return script


class TestAnswers(unittest.IsolatedAsyncioTestCase):
    """Every caller gets its own whole answer."""

    async def test_passed_on_unchanged(self):
        async with running(whole) as relay:
            got = await ask(relay, request('/unsafe/x?q=1', x_other='o'))
            self.assertEqual((got.status, got.body), (200, b'whole'))
            self.assertEqual(got.headers['x-proof'], 'p')
            seen = relay.upstreams[0].seen[0]
            self.assertEqual(seen.line, 'POST /unsafe/x?q=1 HTTP/1.1')
            self.assertEqual(seen.body, b'ask')
            self.assertEqual(seen.headers['x-other'], 'o')
            self.assertEqual(seen.headers['x-for'], 'i-0')
            self.assertEqual(seen.headers['x-workspace'], 'w')
            self.assertNotIn('x-key', seen.headers)

    async def test_an_earlier_requests_answer_is_passed_over(self):
        async with running(stray_first) as relay:
            got = await ask(relay, request('/unsafe/'))
            self.assertEqual(got.body, b'whole')

    async def test_a_connection_with_surplus_bytes_is_not_used_again(self):
        async with running(extra_behind) as relay:
            for _ in range(3):
                got = await ask(relay, request('/safe/'))
                self.assertEqual(got.body, b'whole')
            self.assertEqual(relay.upstreams[0].connections, 3)

    async def test_a_sound_connection_is(self):
        async with running(whole) as relay:
            for _ in range(3):
                await ask(relay, request('/safe/'))
            self.assertEqual(relay.upstreams[0].connections, 1)

    async def test_an_upstreams_failure_is_passed_on(self):
        async with running(fails) as relay:
            got = await ask(relay, request('/unsafe/'))
            self.assertEqual((got.status, got.body), (500, b'sorry'))
            self.assertEqual(got.headers['x-proof'], 'p')


class TestOnce(unittest.IsolatedAsyncioTestCase):
    """Work that must run once is never sent again after a doubt."""

    async def test_in_doubt(self):
        for script in (cut, forged, half, nonsense):
            with self.subTest(script=script.__name__):
                async with running(script, script) as relay:
                    got = await ask(relay, request('/unsafe/'))
                    self.assertEqual(got.status, 502)
                    self.assertIn(b'unknown', got.body)
                    runs = [len(one.seen) for one in relay.upstreams]
                    self.assertEqual(sum(runs), 1)

    async def test_proved_not_run(self):
        for script in (refuses, other_life):
            async with running(script, whole) as relay:
                got = [await ask(relay, request('/unsafe/')) for _ in range(4)]
                refused = len(relay.upstreams[0].seen)
            with self.subTest(script=script.__name__):
                self.assertEqual({one.body for one in got}, {b'whole'})
                # At the least one was sent again, and no more than a new entry
                # may send again.
                self.assertGreater(refused, 0)
                self.assertLessEqual(refused, RESERVE)

    async def test_proved_not_run_beyond_the_budget(self):
        """The fourth refusal of a new entry is the caller's answer."""
        avoided_s = 'snipebend.relay.refusals.MAX_AVOIDANCE_S'
        async with running(refuses, whole) as relay:
            relay.desk._rng.random = lambda: 0.5
            with mock.patch(avoided_s, 0):
                got = [await ask(relay, request('/unsafe/')) for _ in range(4)]
        self.assertEqual([one.status for one in got], [200, 200, 200, 503])
        self.assertIn(b'not-run', got[-1].body)

    async def test_refused_by_all(self):
        async with running(refuses, refuses) as relay:
            got = await ask(relay, request('/unsafe/'))
            self.assertEqual(got.status, 503)
            self.assertIn(b'not-run', got.body)
            self.assertGreater(float(got.headers['retry-after']), 0)

    async def test_no_connection(self):
        async with running(whole) as relay:
            relay.announce('i-gone', '127.0.0.1:1')
            for _ in range(4):
                got = await ask(relay, request('/unsafe/'))
                self.assertEqual(got.body, b'whole')


class TestAgain(unittest.IsolatedAsyncioTestCase):
    """Idempotent work goes to another upstream."""

    async def test_after_each_kind_of_failure(self):
        for script in (cut, forged, half, nonsense, fails, refuses):
            with self.subTest(script=script.__name__):
                async with running(script, whole) as relay:
                    got = await ask(relay, request('/safe/'))
                    self.assertEqual(got.body, b'whole')

    async def test_not_more_often_than_the_route_allows(self):
        async with running(cut, cut, cut, cut) as relay:
            got = await ask(relay, request('/safe/'))
            self.assertEqual(got.status, 502)
            runs = [len(one.seen) for one in relay.upstreams]
            self.assertEqual(sum(runs), 2)


class TestStreams(unittest.IsolatedAsyncioTestCase):
    """Whole events, each once, in their order."""

    async def test_whole(self):
        async with running(events(1, 2, 3)) as relay:
            got = await ask(relay, request('/stream/'))
            self.assertTrue(got.whole)
            self.assertEqual(got.body, event(1) + event(2) + event(3))

    async def test_resumes_where_it_was_broken(self):
        script = once(events(1, 2, then_cut=True), events(1, 2, 3))
        async with running(script, script) as relay:
            got = await ask(relay, request('/stream/'))
            self.assertTrue(got.whole)
            self.assertEqual(got.body, event(1) + event(2) + event(3))
            seen = [one for up in relay.upstreams for one in up.seen]
            self.assertEqual(
                sorted(one.headers.get('x-after', '-') for one in seen),
                ['-', '2'],
            )

    async def test_broken_for_good_looks_broken(self):
        for path in ('/stream/', '/once/'):
            async with running(events(1, 2, then_cut=True)) as relay:
                got = await ask(relay, request(path))
            with self.subTest(path=path):
                self.assertFalse(got.whole)
                self.assertEqual(got.body, event(1) + event(2))

    async def test_one_that_runs_once_is_not_resumed(self):
        script = events(1, then_cut=True)
        async with running(script, script) as relay:
            await ask(relay, request('/once/'))
            runs = [len(one.seen) for one in relay.upstreams]
            self.assertEqual(sum(runs), 1)


class TestRefusals(unittest.IsolatedAsyncioTestCase):
    """What isn't passed on, and how it is answered."""

    async def test_by_the_table(self):
        cases = {
            404: request('/none/'),
            401: request('/safe/', x_key='wrong'),
            400: request('/safe/', x_left='never'),
        }
        async with running(whole) as relay:
            for status, data in cases.items():
                with self.subTest(status=status):
                    got = await ask(relay, data)
                    self.assertEqual(got.status, status)
            anonymous = await ask(relay, request('/open/', x_key=''))
            self.assertEqual(anonymous.status, 200)

    async def test_without_a_document(self):
        async with running(whole, table=None) as relay:
            got = await ask(relay, request('/safe/'))
            self.assertEqual(got.status, 503)

    async def test_a_document_that_comes_soon_is_waited_for(self):
        async with running(whole, table=None) as relay:
            reader, writer = await relay.connect()
            writer.write(request('/safe/', X_Left='9'))
            while not relay.desk.outage.waiting:
                await asyncio.sleep(0)
            relay.follower.index = HostIndex(TABLE)
            relay.follower.on_news()
            got = await read_response(reader)
            writer.close()
            self.assertEqual(got.status, 200)
            self.assertEqual(relay.desk.outage.waiting, 0)

    async def test_nothing_waits_for_a_document_in_a_process_that_stops(self):
        async with running(whole, table=None) as relay:
            relay.desk.outage.close()
            got = await ask(relay, request('/safe/', X_Left='9'))
            self.assertEqual(got.status, 503)

    async def test_a_caller_that_leaves_waits_no_more(self):
        async with running(whole, table=None) as relay:
            _, writer = await relay.connect()
            writer.write(request('/safe/', X_Left='9'))
            while not relay.desk.outage.waiting:
                await asyncio.sleep(0)
            writer.close()
            while relay.desk.outage.waiting:
                await asyncio.sleep(0)

    async def test_without_a_free_upstream(self):
        async with running(whole) as relay:
            upstream = relay.upstreams[0]
            relay.announce('i-0', upstream.address, RosterPhase.LEAVING)
            got = await ask(relay, request('/unsafe/'))
            self.assertEqual(got.status, 503)
            self.assertEqual(upstream.seen, [])

    async def test_at_the_routes_timeout(self):
        async with running(never) as relay:
            got = await ask(relay, request('/short/'))
            self.assertEqual(got.status, 504)
            self.assertIn(b'unknown', got.body)


class TestLeaving(unittest.IsolatedAsyncioTestCase):
    """A caller that leaves, and an entry that stops."""

    async def test_idempotent_work_is_broken_off(self):
        started = asyncio.Event()
        left = asyncio.Event()

        async def waits(req, writer):
            started.set()
            self.assertEqual(await req.reader.read(), b'')
            left.set()

        async with running(waits) as relay:
            _, writer = await relay.connect()
            writer.write(request('/safe/'))
            async with asyncio.timeout(5):
                await started.wait()
                writer.close()
                await left.wait()

    async def test_work_that_runs_once_ends(self):
        started = asyncio.Event()
        go_on = asyncio.Event()
        ended = asyncio.Event()

        async def slow(req, writer):
            started.set()
            await go_on.wait()
            writer.write(answer(req))
            await writer.drain()
            ended.set()
            return True

        async with running(slow) as relay:
            _, writer = await relay.connect()
            writer.write(request('/unsafe/'))
            async with asyncio.timeout(5):
                await started.wait()
                writer.close()
                await writer.wait_closed()
                go_on.set()
                await ended.wait()
            self.assertEqual(relay.upstreams[0].closed_early, 0)

    async def test_a_drain_cuts_nothing(self):
        go_on = asyncio.Event()
        started = asyncio.Event()

        async def slow(req, writer):
            started.set()
            await go_on.wait()
            writer.write(answer(req))
            return True

        async with running(slow) as relay:
            reader, writer = await relay.connect()
            writer.write(request('/safe/'))
            async with asyncio.timeout(8):
                await started.wait()
                drain = asyncio.create_task(relay.server.drain())
                await asyncio.sleep(0)
                go_on.set()
                got = await read_response(reader)
                self.assertEqual(got.body, b'whole')
                self.assertEqual(got.headers['connection'], 'close')
                await drain
