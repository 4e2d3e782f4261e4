"""Guards against callers that read slowly, or send more than there is room for.

What an entry holds for them would grow until it is out of memory, delay other
callers' streams, or keep upstreams busy that wait to be read.
"""

from __future__ import annotations

import asyncio
import socket
import unittest
from types import SimpleNamespace
from unittest.mock import Mock, patch

from snipebend.edge import caller_connection, reader_watch
from snipebend.edge.caller_connection import CallerConnection
from snipebend.edge.upstream_connection import (
    MAX_PENDING_BYTES,
    MAX_PENDING_EVENTS,
    UpstreamConnection,
)
from snipebend.hosts.model import CallerLimits, HostWorkspace
from tests.edge.relay_fixture import (
    HOST,
    LAST_CHUNK,
    TABLE,
    TIMEOUT_S,
    Dialect,
    encode_chunk,
    encode_response,
    make_event,
    read_response,
    request,
    running,
    send_request,
    stream_head,
)

#: Room for 200,000 bytes, of which one workspace may take half.
MEMORY_MB = 0.8
CAPACITY = 200_000
ROUTE_TIMEOUT_S = 8.0
LARGE = TABLE._replace(
    routes=tuple(
        route._replace(timeout_s=ROUTE_TIMEOUT_S) for route in TABLE.routes
    ),
    workspaces=(HostWorkspace('w', ('key',)), HostWorkspace('good', ('fine',))),
    limits=CallerLimits(2048, 8_000_000, 5.0, 5.0),
)
#: Bytes of a stream that doesn't fit into the kernel's buffers.
LONG_STREAM = 16_000_000
#: Bytes of a stream that doesn't either, and fits into the memory.
FITTING_STREAM = 800_000
#: Events of the stream of a caller that reads well, and the time between two.
GOOD_EVENTS = 40
GOOD_PAUSE_S = 0.02
#: Of a stream with less than this between two events none is late.
MAX_PAUSE_S = 0.5
SLOW_CALLERS = 12


async def stream_by_key(req, writer):
    """Send small events at a pace, or many large ones to key ``key``."""
    writer.write(stream_head(req))
    if req.headers['x-workspace'] == 'good':
        for number in range(GOOD_EVENTS):
            writer.write(encode_chunk(make_event(number)))
            await asyncio.sleep(GOOD_PAUSE_S)
    else:
        await write_large_events(writer, LONG_STREAM)
    writer.write(LAST_CHUNK)
    return True


async def write_large_events(writer, size):
    """Write so many bytes as fast as they are read."""
    event = b'data: %b\n\n' % (b'a' * 20_000)
    for _ in range(size // len(event)):
        writer.write(encode_chunk(event))
        await writer.drain()


async def stream_that_fits(req, writer):
    """Send large events, fewer than there is memory for."""
    writer.write(stream_head(req))
    await write_large_events(writer, FITTING_STREAM)
    writer.write(LAST_CHUNK)
    return True


def respond_with_size(size):
    """Return a script with a whole response of so many bytes."""

    async def script(req, writer):
        writer.write(encode_response(req, b'a' * size))
        await writer.drain()
        return True

    return script


async def connect_slow(relay):
    """Connect a caller whose kernel takes few bytes ahead of its reads."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, ('127.0.0.1', relay.port))
    return sock


async def ask_and_read_nothing(relay, path='/stream/'):
    """Send a request whose response isn't read."""
    sock = await connect_slow(relay)
    await asyncio.get_running_loop().sock_sendall(sock, request(path))
    return sock


async def read_to_end(sock):
    """Read all that is left; a reset ends it, too."""
    loop = asyncio.get_running_loop()
    got = b''
    try:
        while True:
            more = await loop.sock_recv(sock, 1_000_000)
            if not more:
                return got
            got += more
    except ConnectionError:
        return got
    finally:
        sock.close()


async def until(has_come):
    """Wait for a condition."""
    async with asyncio.timeout(TIMEOUT_S):
        while not has_come():
            await asyncio.sleep(0.01)


def stalls_after(seconds):
    """Let callers go sooner."""
    return patch.multiple(
        reader_watch, STALLED_AFTER_S=seconds, CHECK_INTERVAL_S=0.05
    )


class TestReadersOfStreams(unittest.IsolatedAsyncioTestCase):
    """A caller that reads nothing costs others nothing, and is let go."""

    async def test_good_caller_beside_many_that_read_nothing(self):
        with stalls_after(30):
            async with running(
                stream_by_key, table=LARGE, slots=40, memory_mb=MEMORY_MB
            ) as relay:
                slow = [
                    await ask_and_read_nothing(relay)
                    for _ in range(SLOW_CALLERS)
                ]
                budget = relay.service.buffers
                await until(lambda: budget.held > 0)
                gaps, held = await self._read_good_stream(relay, budget)
                for sock in slow:
                    sock.close()
                await until(lambda: not budget.held)
        self.assertEqual(len(gaps), GOOD_EVENTS)
        self.assertLess(max(gaps), MAX_PAUSE_S)
        self.assertLess(max(held), SLOW_CALLERS * 3 * 20_000)

    async def test_stalled_caller_is_let_go_and_frees_its_upstream(self):
        with stalls_after(0.3):
            async with running(
                stream_by_key, table=LARGE, memory_mb=MEMORY_MB
            ) as relay:
                sock = await ask_and_read_nothing(relay)
                upstream = relay.upstreams[0]
                await until(lambda: upstream.closed_early)
                got = await read_to_end(sock)
                self.assertFalse(got.endswith(LAST_CHUNK))
                self.assertEqual(relay.service.buffers.held, 0)
                self.assertEqual(relay.service.own_calls(), {})

    async def test_response_that_fits_is_read_ahead(self):
        """Its upstream is free although its caller has read nothing."""
        async with running(
            stream_that_fits, table=LARGE, memory_mb=100
        ) as relay:
            sock = await ask_and_read_nothing(relay)
            upstream = relay.upstreams[0]
            await until(lambda: upstream.requests)
            await until(lambda: not relay.service.own_calls())
            self.assertGreater(relay.service.buffers.held, 0)
            self.assertTrue(await reads_last_chunk(sock))
            await until(lambda: not relay.service.buffers.held)

    async def test_caller_that_reads_slowly_is_kept(self):
        with stalls_after(0.6):
            async with running(
                stream_by_key, table=LARGE, memory_mb=MEMORY_MB
            ) as relay:
                sock = await ask_and_read_nothing(relay)
                budget = relay.service.buffers
                await until(lambda: budget.held)
                loop = asyncio.get_running_loop()
                for _ in range(12):
                    await loop.sock_recv(sock, 200_000)
                    await asyncio.sleep(0.1)
                self.assertTrue(relay.service.own_calls())
                sock.close()

    async def test_no_caller_is_let_go_without_a_known_memory(self):
        with stalls_after(0.1):
            async with running(stream_by_key, table=LARGE) as relay:
                sock = await ask_and_read_nothing(relay)
                await asyncio.sleep(0.5)
                got = await asyncio.wait_for(reads_last_chunk(sock), TIMEOUT_S)
        self.assertTrue(got)

    async def _read_good_stream(self, relay, budget):
        reader, writer = await relay.connect()
        writer.write(request('/stream/', x_key='fine', x_id='good'))
        await reader.readuntil(b'\r\n\r\n')
        loop = asyncio.get_running_loop()
        gaps, held = [], []
        last_at = loop.time()
        async with asyncio.timeout(TIMEOUT_S):
            for _ in range(GOOD_EVENTS):
                await reader.readuntil(b'\n\n\r\n')
                gaps.append(loop.time() - last_at)
                last_at = loop.time()
                held.append(budget.held)
        writer.close()
        return gaps, held


async def reads_last_chunk(sock):
    """Return whether a response in chunks is complete."""
    loop = asyncio.get_running_loop()
    tail = b''
    while not tail.endswith(LAST_CHUNK):
        more = await loop.sock_recv(sock, 1_000_000)
        if not more:
            return False
        tail = (tail + more)[-len(LAST_CHUNK) :]
    sock.close()
    return True


class TestWholeResponses(unittest.IsolatedAsyncioTestCase):
    """A response that doesn't fit is forwarded as fast as it is read."""

    async def test_larger_than_the_room(self):
        size = 3_000_000
        async with running(
            respond_with_size(size), table=LARGE, memory_mb=MEMORY_MB
        ) as relay:
            got = await send_request(relay, request('/safe/'))
            await until(lambda: not relay.service.buffers.held)
        self.assertEqual((got.status, len(got.body)), (200, size))

    async def test_broken_in_the_middle_looks_incomplete(self):
        async def break_off(req, writer):
            writer.write(encode_response(req, b'a' * 3_000_000)[:2_000_000])
            await writer.drain()
            return False

        async with running(
            break_off, break_off, table=LARGE, memory_mb=MEMORY_MB
        ) as relay:
            got = await send_request(relay, request('/safe/'))
            calls = sum(len(one.requests) for one in relay.upstreams)
        self.assertEqual((got.status, got.complete, calls), (200, False, 1))

    async def test_responses_do_not_pile_up(self):
        number = 8
        size = 8_000_000
        with stalls_after(30):
            async with running(
                respond_with_size(size),
                table=LARGE,
                slots=number,
                memory_mb=100,
            ) as relay:
                sock = await connect_slow(relay)
                loop = asyncio.get_running_loop()
                await loop.sock_sendall(sock, number * request('/safe/'))
                budget = relay.service.buffers
                await until(lambda: budget.held > UNREAD)
                await asyncio.sleep(0.2)
                self.assertEqual(len(relay.upstreams[0].requests), 1)
                self.assertLessEqual(budget.held, size)
                sock.close()
                await until(lambda: not budget.held)


#: Bytes of a large response of which the kernel holds the rest.
UNREAD = 1_000_000


class TestSteadyReaders(unittest.IsolatedAsyncioTestCase):
    """Who reads steadily gets all of it, however long that takes."""

    async def _read_steadily(self, relay, path='/safe/', **headers):
        """Return the end and the size of a response that is read slowly."""
        sock = await connect_slow(relay)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, request(path, **headers))
        size, tail = 0, b''
        try:
            while size < FITTING_STREAM:
                got = await loop.sock_recv(sock, 16_000)
                if not got:
                    break
                tail = (tail + got)[-len(LAST_CHUNK) :]
                size += len(got)
                if tail == LAST_CHUNK:
                    break
                await asyncio.sleep(0.02)
        except ConnectionError:
            size = -1
        sock.close()
        return tail, size

    async def _check(self, script, **headers):
        short = LARGE.limits._replace(input_timeout_s=0.2)
        with patch.object(caller_connection, 'CLOSE_TIMEOUT_S', 0.2):
            async with running(
                script, table=LARGE._replace(limits=short), memory_mb=100
            ) as relay:
                tail, size = await self._read_steadily(relay, **headers)
                if tail != LAST_CHUNK:
                    self.assertGreaterEqual(size, FITTING_STREAM)

    async def test_connection_that_closes_afterwards(self):
        await self._check(respond_with_size(FITTING_STREAM), connection='close')

    async def test_connection_that_would_be_idle(self):
        await self._check(respond_with_size(FITTING_STREAM))

    async def test_stream_that_was_read_ahead(self):
        await self._check(stream_that_fits, path='/stream/', connection='close')

    async def test_whole_response_without_room_after_the_deadline(self):
        routes = tuple(route._replace(timeout_s=0.3) for route in LARGE.routes)
        async with running(
            respond_with_size(FITTING_STREAM),
            table=LARGE._replace(routes=routes),
            memory_mb=MEMORY_MB,
        ) as relay:
            _, size = await self._read_steadily(relay)
        self.assertGreaterEqual(size, FITTING_STREAM)

    async def test_failure_without_room_is_forwarded(self):
        async def fail(req, writer):
            body = b'a' * FITTING_STREAM
            writer.write(encode_response(req, body, '500 Failed'))
            await writer.drain()
            return True

        async with running(fail, table=LARGE, memory_mb=MEMORY_MB) as relay:
            got = await send_request(relay, request('/unsafe/'))
            upstream = relay.service._upstreams.find('i-0')
            self.assertEqual(upstream.refusals.consecutive, 0)
        self.assertEqual((got.status, got.complete), (500, True))
        self.assertEqual(len(got.body), FITTING_STREAM)


class TestBodies(unittest.IsolatedAsyncioTestCase):
    """A body for which there is no room is refused before it is read."""

    async def _check_refused(self, data):
        async with running(
            respond_with_size(1), table=LARGE, memory_mb=MEMORY_MB
        ) as relay:
            got = await send_request(relay, data)
            self.assertEqual(got.status, 503)
            self.assertIn('retry-after', got.headers)
            self.assertIn(b'not-run', got.body)
            self.assertEqual(relay.upstreams[0].requests, [])
            await until(lambda: not relay.service.buffers.held)
            got = await send_request(relay, request('/safe/'))
            self.assertEqual(got.status, 200)

    async def test_head_alone(self):
        data = request('/unsafe/', body=b'a' * CAPACITY)
        await self._check_refused(data[:-CAPACITY])

    async def test_whole_body(self):
        await self._check_refused(request('/unsafe/', body=b'a' * 4_000_000))

    async def test_body_in_chunks(self):
        head = (
            f'POST /unsafe/ HTTP/1.1\r\nHost: {HOST}\r\nX-Id: r1\r\n'
            'X-Key: key\r\nTransfer-Encoding: chunked\r\n\r\n'
        )
        chunk = encode_chunk(b'a' * 30_000)
        await self._check_refused(head.encode() + 8 * chunk + LAST_CHUNK)

    async def test_other_workspaces_have_room(self):
        half = CAPACITY // 2
        async with running(
            respond_with_size(1), table=LARGE, memory_mb=MEMORY_MB
        ) as relay:
            reader, writer = await relay.connect()
            writer.write(request('/safe/', body=b'a' * half)[:-1])
            await until(lambda: relay.service.buffers.held == half)
            more = request('/safe/', body=b'a' * (half // 2))
            got = await send_request(relay, more)
            self.assertEqual(got.status, 503)
            more = more.replace(b'X-Key: key', b'X-Key: fine')
            got = await send_request(relay, more)
            self.assertEqual(got.status, 200)
            writer.write(b'a')
            got = await read_response(reader)
            self.assertEqual(got.status, 200)
            writer.close()
            await until(lambda: not relay.service.buffers.held)

    async def test_disconnect_before_the_request_begins(self):
        async with running(
            respond_with_size(1), table=LARGE, memory_mb=MEMORY_MB
        ) as relay:
            conn = CallerConnection(relay.server)
            conn.connection_made(Mock(asyncio.Transport))
            conn.data_received(request('/safe/', body=b'a' * 50_000))
            self.assertEqual(relay.service.buffers.held, 50_000)
            conn.connection_lost(None)
            self.assertEqual(relay.service.buffers.held, 0)
            await asyncio.sleep(0)
            self.assertEqual(relay.service.buffers.held, 0)

    async def test_disconnect_frees_the_room(self):
        async with running(
            respond_with_size(1), table=LARGE, memory_mb=MEMORY_MB
        ) as relay:
            _, writer = await relay.connect()
            writer.write(request('/safe/', body=b'a' * 50_000)[:-1])
            await until(lambda: relay.service.buffers.held == 50_000)
            writer.close()
            await until(lambda: not relay.service.buffers.held)


class FakeTransport:
    """Records whether reading is paused."""

    def __init__(self):
        self.reading = True

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True

    def write(self, data):
        """Accept a request."""

    def abort(self):
        """Close."""


class TestUpstreamBackPressure(unittest.IsolatedAsyncioTestCase):
    """An upstream is read again only once its reader has caught up."""

    async def _receive_until_reading(self, pieces):
        conn = UpstreamConnection(Dialect(), '10.0.0.1:80')
        transport = FakeTransport()
        conn.connection_made(transport)
        channel = conn.send(b'ask', 'r1')
        req = SimpleNamespace(headers={'x-id': 'r1'})
        conn.data_received(stream_head(req) + b''.join(pieces))
        self.assertFalse(transport.reading)
        while not transport.reading:
            await channel.receive()
            conn.resume()
        return channel

    async def test_many_small_events(self):
        pieces = [encode_chunk(make_event(number)) for number in range(1000)]
        channel = await self._receive_until_reading(pieces)
        self.assertLessEqual(channel.pending, MAX_PENDING_EVENTS)

    async def test_few_large_events(self):
        piece = encode_chunk(b'a' * MAX_PENDING_BYTES)
        pieces = [piece for _ in range(4)]
        channel = await self._receive_until_reading(pieces)
        self.assertLessEqual(channel.pending_bytes, MAX_PENDING_BYTES)


if __name__ == '__main__':
    unittest.main()
