"""Guards against a broken stream that reaches its caller as complete.

An upstream that ends in the middle of a stream may still end the response as
its framing allows: by closing the connection, by a last chunk, or because the
stated length was wrong. A caller must be able to tell that the stream is
incomplete, or receive the rest from another upstream.
"""

from __future__ import annotations

import itertools
import unittest

from snipebend.transport.abortive_close import reset_on_close
from snipebend.transport.body_framing import BodyFraming
from tests.edge.relay_fixture import (
    encode_stream,
    make_event,
    once,
    request,
    respond_with,
    running,
    send_request,
)

#: What follows the last complete event of a broken and of a complete stream.
PARTIAL_EVENTS = (
    b'id: 3',
    b'id: 3\n',
    b'id: 3\ndata: pie',
    b'id: 3\ndata: x\n',
)
COMPLETE_ENDS = (b'', b'\n\r\n', b': a comment\n')

JSON_HEADERS = 'X-Proof: p\r\nContent-Type: application/json\r\n'


def stream_with(framing, *numbers, end=b''):
    """Return a script that sends events not received before, then ``end``."""

    async def script(req, writer):
        after = int(req.headers.get('x-after', 0))
        sent = [make_event(number) for number in numbers if number > after]
        writer.write(encode_stream(req, b''.join(sent) + end, framing))
        # The end of the connection, without a reset, may be part of framing.
        return False

    return script


async def reset_without_framing(req, writer):
    """Reset the connection after a complete event."""
    writer.write(encode_stream(req, make_event(1), BodyFraming.CLOSE))
    reset_on_close(writer.transport)
    return False


async def call(path, *scripts):
    """Return the response of a relay with one upstream for each script."""
    async with running(*scripts) as relay:
        return await send_request(relay, request(path))


class TestBrokenStreams(unittest.IsolatedAsyncioTestCase):
    """The events of a stream tell its end as well as its framing does."""

    async def test_end_inside_an_event_never_looks_complete(self):
        cases = itertools.product(
            BodyFraming, ('/stream/', '/once/'), PARTIAL_EVENTS
        )
        complete = []
        for framing, path, end in cases:
            got = await call(path, stream_with(framing, 1, 2, end=end))
            if got.complete:
                complete.append((framing, path, end))
            else:
                self.assertEqual(got.body, make_event(1) + make_event(2))
        self.assertEqual(complete, [])

    async def test_stream_that_ends_inside_an_event_is_resumed(self):
        bodies = []
        for framing in BodyFraming:
            script = once(
                stream_with(framing, 1, 2, end=b'id: 3\ndata: pie'),
                stream_with(framing, 1, 2, 3),
            )
            got = await call('/stream/', script, script)
            bodies.append((got.complete, got.body))
        whole = make_event(1) + make_event(2) + make_event(3)
        self.assertEqual(bodies, [(True, whole) for _ in BodyFraming])

    async def test_end_between_events_is_complete(self):
        for framing, end in itertools.product(BodyFraming, COMPLETE_ENDS):
            got = await call('/stream/', stream_with(framing, 1, 2, end=end))
            self.assertTrue(got.complete, (framing, end))
            self.assertEqual(got.body, make_event(1) + make_event(2) + end)

    async def test_close_before_the_first_event_never_looks_complete(self):
        silent = stream_with(BodyFraming.CLOSE)
        got = await call('/once/', silent)
        self.assertEqual(got.status, 502)
        script = once(silent, stream_with(BodyFraming.CLOSE, 1, 2))
        got = await call('/stream/', script, script)
        self.assertEqual(got.body, make_event(1) + make_event(2))

    async def test_close_before_the_first_resumed_event_is_incomplete(self):
        script = once(
            stream_with(BodyFraming.CLOSE, 1, end=b'id: 2'),
            stream_with(BodyFraming.CLOSE, 1),
        )
        got = await call('/stream/', script, script)
        self.assertFalse(got.complete)
        self.assertEqual(got.body, make_event(1))

    async def test_reset_never_ends_a_body_without_framing(self):
        got = await call('/unsafe/', reset_without_framing)
        self.assertEqual(got.status, 502)
        got = await call('/once/', reset_without_framing)
        self.assertFalse(got.complete)

    async def test_document_in_place_of_the_rest_is_not_appended(self):
        bodies = []
        for status in ('404 Not Found', '200 OK'):
            script = once(
                stream_with(BodyFraming.CHUNKED, 1, end=b'id: 2'),
                respond_with(b'{}', status, JSON_HEADERS),
            )
            got = await call('/stream/', script, script)
            bodies.append((got.complete, got.body))
        self.assertEqual(bodies, [(False, make_event(1)) for _ in range(2)])

    async def test_framed_stream_without_events_is_complete(self):
        for framing in (BodyFraming.CHUNKED, BodyFraming.LENGTH):
            got = await call('/stream/', stream_with(framing))
            self.assertTrue(got.complete, framing)
            self.assertEqual(got.body, b'')

    async def test_document_in_place_of_a_stream_is_forwarded_whole(self):
        script = respond_with(b'{}', extra=JSON_HEADERS)
        got = await call('/stream/', script)
        self.assertTrue(got.complete)
        self.assertEqual(got.body, b'{}')


if __name__ == '__main__':
    unittest.main()
