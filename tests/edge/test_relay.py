"""Guards against responses that are lost, mixed up, incomplete or repeated.

Upstreams refuse requests, close connections before or during a response, or
send surplus bytes, which would be taken for the next response if the connection
were reused. Callers disconnect, and the entry shuts down, while requests are in
progress. A request that may run only once must not be sent again then.
"""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from snipebend.hosts.lookup import HostIndex
from snipebend.routing.retry_budget import RESERVE
from snipebend.state.roster import RosterPhase
from tests.edge.relay_fixture import (
    TABLE,
    encode_chunk,
    encode_response,
    make_event,
    once,
    read_response,
    request,
    running,
    send_request,
    stream_head,
)


async def respond_ok(req, writer):
    writer.write(encode_response(req))
    return True


async def disconnect(req, writer):
    """Close the connection without a response: the request may have run."""
    return False


async def refuse(req, writer):
    writer.write(encode_response(req, b'', '503 Busy', 'X-Not-Run: 1\r\n'))
    return True


async def fail(req, writer):
    writer.write(encode_response(req, b'sorry', '500 Broken'))
    return True


async def unauthenticated(req, writer):
    """A success without proof of authorship."""
    writer.write(encode_response(req, extra=''))
    return True


async def truncated(req, writer):
    writer.write(encode_response(req, b'a long body')[:-4])
    return False


async def not_http(req, writer):
    writer.write(b'this is no answer\r\n\r\n')
    return True


async def other_incarnation(req, writer):
    writer.write(encode_response(req, b'', '421 Misdirected', ''))
    return True


async def late_response_first(req, writer):
    """A response to an earlier request, then the expected one."""
    late = encode_response(req, b'not yours').replace(b'X-Id: r1', b'X-Id: r0')
    writer.write(late + encode_response(req))
    return True


async def surplus_response(req, writer):
    writer.write(encode_response(req) + encode_response(req, b'again'))
    return True


async def no_response(req, writer):
    await asyncio.Event().wait()


def events(*numbers, then_disconnect=False):
    """Send these events, each in a chunk."""

    async def script(req, writer):
        after = int(req.headers.get('x-after', 0))
        writer.write(stream_head(req))
        for number in numbers:
            if number > after:
                writer.write(encode_chunk(make_event(number)))
        if then_disconnect:
            writer.write(b'1f\r\nid: 9\ndata: ha')
            return False
        writer.write(b'0\r\n\r\n')
        return True

    return script


class TestResponses(unittest.IsolatedAsyncioTestCase):
    """Every caller gets the complete response to its own request."""

    async def test_forwarded_unchanged(self):
        async with running(respond_ok) as relay:
            got = await send_request(
                relay, request('/unsafe/x?q=1', x_other='o')
            )
            self.assertEqual((got.status, got.body), (200, b'whole'))
            self.assertEqual(got.headers['x-proof'], 'p')
            received = relay.upstreams[0].requests[0]
            self.assertEqual(received.line, 'POST /unsafe/x?q=1 HTTP/1.1')
            self.assertEqual(received.body, b'ask')
            self.assertEqual(received.headers['x-other'], 'o')
            self.assertEqual(received.headers['x-for'], 'i-0')
            self.assertEqual(received.headers['x-workspace'], 'w')
            self.assertNotIn('x-key', received.headers)

    async def test_response_to_an_earlier_request_is_ignored(self):
        async with running(late_response_first) as relay:
            got = await send_request(relay, request('/unsafe/'))
            self.assertEqual(got.body, b'whole')

    async def test_connection_with_surplus_bytes_is_not_reused(self):
        async with running(surplus_response) as relay:
            for _ in range(3):
                got = await send_request(relay, request('/safe/'))
                self.assertEqual(got.body, b'whole')
            self.assertEqual(relay.upstreams[0].connections, 3)

    async def test_intact_connection_is_reused(self):
        async with running(respond_ok) as relay:
            for _ in range(3):
                await send_request(relay, request('/safe/'))
            self.assertEqual(relay.upstreams[0].connections, 1)

    async def test_upstream_failure_is_forwarded(self):
        async with running(fail) as relay:
            got = await send_request(relay, request('/unsafe/'))
            self.assertEqual((got.status, got.body), (500, b'sorry'))
            self.assertEqual(got.headers['x-proof'], 'p')


class TestNonIdempotent(unittest.IsolatedAsyncioTestCase):
    """A request that may run only once is not retried if it may have run."""

    async def test_not_retried_if_it_may_have_run(self):
        for script in (disconnect, unauthenticated, truncated, not_http):
            with self.subTest(script=script.__name__):
                async with running(script, script) as relay:
                    got = await send_request(relay, request('/unsafe/'))
                    self.assertEqual(got.status, 502)
                    self.assertIn(b'unknown', got.body)
                    runs = [len(one.requests) for one in relay.upstreams]
                    self.assertEqual(sum(runs), 1)

    async def test_retried_after_proof_that_it_did_not_run(self):
        for script in (refuse, other_incarnation):
            async with running(script, respond_ok) as relay:
                got = [
                    await send_request(relay, request('/unsafe/'))
                    for _ in range(4)
                ]
                refused = len(relay.upstreams[0].requests)
            with self.subTest(script=script.__name__):
                self.assertEqual({one.body for one in got}, {b'whole'})
                # At least one was retried, and no more than the reserve of a
                # new entry allows.
                self.assertGreater(refused, 0)
                self.assertLessEqual(refused, RESERVE)

    async def test_not_retried_beyond_the_budget(self):
        """The second refusal exceeds the retry budget of a new entry."""
        avoided_s = 'snipebend.relay.refusals.MAX_AVOIDANCE_S'
        async with running(refuse, respond_ok) as relay:
            relay.service._rng.random = lambda: 0.5
            with mock.patch(avoided_s, 0):
                got = [
                    await send_request(relay, request('/unsafe/'))
                    for _ in range(4)
                ]
        self.assertEqual([one.status for one in got], [200, 503, 503, 503])
        self.assertIn(b'not-run', got[-1].body)

    async def test_refused_by_all(self):
        async with running(refuse, refuse) as relay:
            got = await send_request(relay, request('/unsafe/'))
            self.assertEqual(got.status, 503)
            self.assertIn(b'not-run', got.body)
            self.assertGreater(float(got.headers['retry-after']), 0)

    async def test_no_connection(self):
        async with running(respond_ok) as relay:
            relay.announce('i-gone', '127.0.0.1:1')
            for _ in range(4):
                got = await send_request(relay, request('/unsafe/'))
                self.assertEqual(got.body, b'whole')


class TestIdempotent(unittest.IsolatedAsyncioTestCase):
    """Idempotent requests are retried at another upstream."""

    async def test_retried_after_each_kind_of_failure(self):
        for script in (
            disconnect,
            unauthenticated,
            truncated,
            not_http,
            fail,
            refuse,
        ):
            with self.subTest(script=script.__name__):
                async with running(script, respond_ok) as relay:
                    got = await send_request(relay, request('/safe/'))
                    self.assertEqual(got.body, b'whole')

    async def test_retries_are_limited_by_the_route(self):
        async with running(
            disconnect, disconnect, disconnect, disconnect
        ) as relay:
            got = await send_request(relay, request('/safe/'))
            self.assertEqual(got.status, 502)
            runs = [len(one.requests) for one in relay.upstreams]
            self.assertEqual(sum(runs), 2)


class TestStreams(unittest.IsolatedAsyncioTestCase):
    """Complete events, each once, in order."""

    async def test_complete_stream(self):
        async with running(events(1, 2, 3)) as relay:
            got = await send_request(relay, request('/stream/'))
            self.assertTrue(got.complete)
            self.assertEqual(
                got.body, make_event(1) + make_event(2) + make_event(3)
            )

    async def test_resumed_after_a_disconnect(self):
        script = once(events(1, 2, then_disconnect=True), events(1, 2, 3))
        async with running(script, script) as relay:
            got = await send_request(relay, request('/stream/'))
            self.assertTrue(got.complete)
            self.assertEqual(
                got.body, make_event(1) + make_event(2) + make_event(3)
            )
            received = [
                one for upstream in relay.upstreams for one in upstream.requests
            ]
            self.assertEqual(
                sorted(one.headers.get('x-after', '-') for one in received),
                ['-', '2'],
            )

    async def test_stream_that_cannot_be_resumed_is_cut_off(self):
        for path in ('/stream/', '/once/'):
            async with running(events(1, 2, then_disconnect=True)) as relay:
                got = await send_request(relay, request(path))
            with self.subTest(path=path):
                self.assertFalse(got.complete)
                self.assertEqual(got.body, make_event(1) + make_event(2))

    async def test_non_resumable_stream_is_not_resumed(self):
        script = events(1, then_disconnect=True)
        async with running(script, script) as relay:
            await send_request(relay, request('/once/'))
            runs = [len(one.requests) for one in relay.upstreams]
            self.assertEqual(sum(runs), 1)


class TestRefusals(unittest.IsolatedAsyncioTestCase):
    """Requests that are refused or wait, and their responses."""

    async def test_no_route_unknown_key_or_malformed(self):
        cases = {
            404: request('/none/'),
            401: request('/safe/', x_key='wrong'),
            400: request('/safe/', x_left='never'),
        }
        async with running(respond_ok) as relay:
            for status, data in cases.items():
                with self.subTest(status=status):
                    got = await send_request(relay, data)
                    self.assertEqual(got.status, status)
            anonymous = await send_request(relay, request('/open/', x_key=''))
            self.assertEqual(anonymous.status, 200)

    async def test_without_a_document(self):
        async with running(respond_ok, table=None) as relay:
            got = await send_request(relay, request('/safe/'))
            self.assertEqual(got.status, 503)

    async def test_request_is_held_until_a_document_arrives(self):
        async with running(respond_ok, table=None) as relay:
            reader, writer = await relay.connect()
            writer.write(request('/safe/', X_Left='9'))
            while not relay.service.outage_wait.waiting:
                await asyncio.sleep(0)
            relay.follower.index = HostIndex(TABLE)
            relay.follower.on_update()
            got = await read_response(reader)
            writer.close()
            self.assertEqual(got.status, 200)
            self.assertEqual(relay.service.outage_wait.waiting, 0)

    async def test_request_is_not_held_during_shutdown(self):
        async with running(respond_ok, table=None) as relay:
            relay.service.outage_wait.close()
            got = await send_request(relay, request('/safe/', X_Left='9'))
            self.assertEqual(got.status, 503)

    async def test_held_request_ends_when_its_caller_disconnects(self):
        async with running(respond_ok, table=None) as relay:
            _, writer = await relay.connect()
            writer.write(request('/safe/', X_Left='9'))
            while not relay.service.outage_wait.waiting:
                await asyncio.sleep(0)
            writer.close()
            while relay.service.outage_wait.waiting:
                await asyncio.sleep(0)

    async def test_without_a_free_upstream(self):
        async with running(respond_ok) as relay:
            upstream = relay.upstreams[0]
            relay.announce('i-0', upstream.address, RosterPhase.LEAVING)
            got = await send_request(relay, request('/unsafe/'))
            self.assertEqual(got.status, 503)
            self.assertEqual(upstream.requests, [])

    async def test_route_timeout(self):
        async with running(no_response) as relay:
            got = await send_request(relay, request('/short/'))
            self.assertEqual(got.status, 504)
            self.assertIn(b'unknown', got.body)


class TestDisconnects(unittest.IsolatedAsyncioTestCase):
    """Callers that disconnect, and an entry that shuts down."""

    async def test_idempotent_request_is_aborted(self):
        started = asyncio.Event()
        disconnected = asyncio.Event()

        async def wait_for_disconnect(req, writer):
            started.set()
            self.assertEqual(await req.reader.read(), b'')
            disconnected.set()

        async with running(wait_for_disconnect) as relay:
            _, writer = await relay.connect()
            writer.write(request('/safe/'))
            async with asyncio.timeout(5):
                await started.wait()
                writer.close()
                await disconnected.wait()

    async def test_non_idempotent_request_is_finished(self):
        started = asyncio.Event()
        proceed = asyncio.Event()
        ended = asyncio.Event()

        async def respond_late(req, writer):
            started.set()
            await proceed.wait()
            writer.write(encode_response(req))
            await writer.drain()
            ended.set()
            return True

        async with running(respond_late) as relay:
            _, writer = await relay.connect()
            writer.write(request('/unsafe/'))
            async with asyncio.timeout(5):
                await started.wait()
                writer.close()
                await writer.wait_closed()
                proceed.set()
                await ended.wait()
            self.assertEqual(relay.upstreams[0].closed_early, 0)

    async def test_drain_cuts_no_request(self):
        proceed = asyncio.Event()
        started = asyncio.Event()

        async def respond_late(req, writer):
            started.set()
            await proceed.wait()
            writer.write(encode_response(req))
            return True

        async with running(respond_late) as relay:
            reader, writer = await relay.connect()
            writer.write(request('/safe/'))
            async with asyncio.timeout(8):
                await started.wait()
                drain = asyncio.create_task(relay.server.drain())
                await asyncio.sleep(0)
                proceed.set()
                got = await read_response(reader)
                self.assertEqual(got.body, b'whole')
                self.assertEqual(got.headers['connection'], 'close')
                await drain
