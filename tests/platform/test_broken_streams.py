"""Guards against an entry process that ends a broken stream as a whole one.

The entry runs on another event loop than its library's tests, which may tell
the end of a connection in another way, and its process may be killed.
"""

from __future__ import annotations

import asyncio
import tempfile
import unittest

from tests.edge.relay_fixture import make_event
from tests.platform.deployment import (
    ENTRY_HOST,
    HOST,
    config,
    deployment,
)
from tests.programs import WAIT_TIMEOUT_S

REQUEST_WITHOUT_CHUNKS = (
    f'POST /a/ HTTP/1.0\r\nHost: {HOST}\r\n'
    'Snipebend-Attempt-Id: r2\r\nSnipebend-Credential: key\r\n\r\n'
).encode()
PARTIAL_EVENT = b'id: 2\ndata: pie'


class Stream:
    """Sends a stream without a framing, which ends as the test sets."""

    def __init__(self):
        self.end = make_event(2)
        self.ends = asyncio.Event()
        self.ends.set()

    async def __call__(self, req, writer):
        request_id = req.headers['snipebend-attempt-id']
        head = (
            f'HTTP/1.1 200 OK\r\nSnipebend-Attempt-Id: {request_id}\r\n'
            'Snipebend-Replica-Signature: s\r\n'
            'Content-Type: text/event-stream\r\n\r\n'
        )
        writer.write(head.encode() + make_event(1))
        await self.ends.wait()
        writer.write(self.end)
        return False


class TestBrokenStreams(unittest.IsolatedAsyncioTestCase):
    """Callers of an entry process can tell a broken stream."""

    async def serve(self, cluster):
        """Wait until the entry forwards complete streams of an upstream."""
        stream = Stream()
        upstream = await cluster.start_upstream(stream)
        table = config(4, '/a/', kind='streaming')
        await cluster.call('/-/config/put', table)
        await cluster.send_heartbeat('i-1', upstream)
        return stream, await cluster.send_until(200)

    async def test_stream_that_ends_inside_an_event(self):
        with tempfile.TemporaryDirectory() as folder:
            async with deployment(folder) as cluster:
                stream, whole = await self.serve(cluster)
                stream.end = PARTIAL_EVENT
                broken = await cluster.send_request(request_id='r2')
        self.assertTrue(whole.complete)
        self.assertEqual(whole.body, make_event(1) + make_event(2))
        self.assertFalse(broken.complete)
        self.assertEqual(broken.body, make_event(1))

    async def test_killed_process_resets_a_stream_without_chunks(self):
        with tempfile.TemporaryDirectory() as folder:
            async with deployment(folder) as cluster:
                stream, _ = await self.serve(cluster)
                stream.ends.clear()
                reader, writer = await asyncio.open_connection(
                    ENTRY_HOST, cluster.callers_port
                )
                writer.write(REQUEST_WITHOUT_CHUNKS)
                async with asyncio.timeout(WAIT_TIMEOUT_S):
                    await reader.readuntil(make_event(1))
                    await cluster.entry.kill()
                with self.assertRaises(ConnectionResetError):
                    await reader.read()
                stream.ends.set()


if __name__ == '__main__':
    unittest.main()
