"""Guards against requests and responses that are cut, and look complete.

``uvicorn`` sends chunks to a caller of HTTP/1.0, which takes their sizes for a
part of the body, and the end of its connection for the end of the response. A
caller that disconnects in the middle of a body ends the events of that body.
"""

from __future__ import annotations

import asyncio
import unittest
from contextlib import asynccontextmanager

from snipebend.kernel.clock import SystemClock
from snipebend.kernel.registry import Registry
from snipebend.kernel.tasks import TaskSupervisor
from snipebend.transport.asgi import (
    BODY_KEY,
    build_sink_app,
    default_body_limit,
)
from snipebend.transport.http_server import HttpServer
from snipebend.transport.problems import IncompleteResponseError, Problem

_REQUEST = b'%b / HTTP/1.0\r\nHost: h\r\n\r\n'
_PROBLEM = Problem(502, 'Broken', 'the answer was broken off')


async def _pieces(*, is_complete):
    yield b'first,'
    yield b'second'
    if not is_complete:
        raise IncompleteResponseError(_PROBLEM)


@asynccontextmanager
async def _serving(serve):
    """Run a server, and open a connection to it."""
    server = HttpServer('http', '127.0.0.1', 0)
    server.serve(build_sink_app(serve, default_body_limit))
    await server.start(Registry(SystemClock(), TaskSupervisor()))
    host, _, port = server.address.rpartition(':')
    try:
        yield await asyncio.open_connection(host, int(port))
    finally:
        await server.stop()


async def _call(is_complete, method=b'GET'):
    """Return the head in lower case and the body of a response."""

    async def serve(req, resp, **params):
        resp.content_type = 'text/event-stream'
        resp.stream = _pieces(is_complete=is_complete)

    async with _serving(serve) as (reader, writer):
        writer.write(_REQUEST % method)
        received = await reader.read()
        writer.close()
    head, _, body = received.partition(b'\r\n\r\n')
    return head.lower(), body


class TestCallersWithoutChunks(unittest.IsolatedAsyncioTestCase):
    """A response states its length if its caller has no chunks."""

    async def test_complete_response_states_its_length(self):
        head, body = await _call(is_complete=True)
        self.assertIn(b' 200 ', head)
        self.assertNotIn(b'transfer-encoding', head)
        self.assertIn(b'content-length: 12', head)
        self.assertEqual(body, b'first,second')

    async def test_broken_response_is_an_error(self):
        head, body = await _call(is_complete=False)
        self.assertIn(b' 502 ', head)
        self.assertIn(b'the answer was broken off', body)
        self.assertIn(b'content-length: %d' % len(body), head)

    async def test_response_without_a_body(self):
        head, body = await _call(is_complete=True, method=b'HEAD')
        self.assertIn(b' 200 ', head)
        self.assertEqual(body, b'')


class TestRequestBodies(unittest.IsolatedAsyncioTestCase):
    """A request is served once its body is complete, or never."""

    async def test_request_that_its_caller_breaks_off_is_not_served(self):
        bodies = []

        async def serve(req, resp, **params):
            bodies.append(req.scope[BODY_KEY])

        async with _serving(serve) as (_, writer):
            writer.write(b'POST / HTTP/1.1\r\nHost: h\r\n')
            writer.write(b'Content-Length: 5\r\n\r\nhal')
            await writer.drain()
            writer.close()
            await writer.wait_closed()
        self.assertEqual(bodies, [])


if __name__ == '__main__':
    unittest.main()
