"""Guards against a cut response that looks complete to a caller without chunks.

Such a response ends with its connection. Only a reset tells that it was cut,
whether a stream broke, the entry stopped, or the caller read too slowly.
"""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from snipebend.edge import caller_connection
from tests.edge.relay_fixture import (
    TIMEOUT_S,
    encode_chunk,
    make_event,
    request,
    respond_with,
    running,
    stream_head,
)

#: Together more than the buffers of a connection hold.
LARGE_EVENTS = tuple(b'data: %b\n\n' % bytes(1_000_000) for _ in range(16))


def old_request(path):
    """Return a request of HTTP/1.0, which has no chunks."""
    return request(path).replace(b'HTTP/1.1', b'HTTP/1.0')


def stream_then(end):
    """Return a script that sends one event and then ``end``."""

    async def script(req, writer):
        writer.write(stream_head(req) + encode_chunk(make_event(1)) + end)
        return False

    return script


async def endless_stream(req, writer):
    writer.write(stream_head(req) + encode_chunk(make_event(1)))
    await asyncio.Event().wait()


async def read_to_end(reader):
    """Return the body, and whether the connection ended without a reset."""
    head = await reader.readuntil(b'\r\n\r\n')
    body = b''
    try:
        while data := await reader.read(65_536):
            body += data
    except ConnectionResetError:
        return head, body, False
    return head, body, True


class TestCallersWithoutChunks(unittest.IsolatedAsyncioTestCase):
    """A connection that ends without a reset ends a complete response."""

    async def call(self, relay, path):
        reader, writer = await relay.connect()
        self.addCleanup(writer.close)
        writer.write(old_request(path))
        return reader

    async def read(self, reader):
        async with asyncio.timeout(TIMEOUT_S):
            return await read_to_end(reader)

    async def test_complete_stream(self):
        async with running(stream_then(b'0\r\n\r\n')) as relay:
            head, body, ended = await self.read(
                await self.call(relay, '/once/')
            )
        self.assertNotIn(b'chunked', head)
        self.assertEqual((body, ended), (make_event(1), True))

    async def test_broken_stream_is_reset(self):
        async with running(stream_then(b'')) as relay:
            reader = await self.call(relay, '/once/')
            self.assertFalse((await self.read(reader))[2])

    async def test_stream_cut_by_the_stop_of_the_entry_is_reset(self):
        async with running(endless_stream) as relay:
            reader = await self.call(relay, '/once/')
            await reader.readuntil(make_event(1))
            await relay.server.stop()
            with self.assertRaises(ConnectionResetError):
                await reader.read()

    async def test_response_that_is_not_read_in_time_is_reset(self):
        timeout = mock.patch.object(caller_connection, 'CLOSE_TIMEOUT_S', 0.05)
        body = b''.join(LARGE_EVENTS)
        script = respond_with(
            body, extra='X-Proof: p\r\nContent-Type: text/event-stream\r\n'
        )
        with timeout:
            async with running(script) as relay:
                closed = asyncio.Event()
                relay.server.connection_closed = lambda _: closed.set()
                reader = await self.call(relay, '/once/')
                async with asyncio.timeout(TIMEOUT_S):
                    await closed.wait()
                self.assertFalse((await self.read(reader))[2])


if __name__ == '__main__':
    unittest.main()
