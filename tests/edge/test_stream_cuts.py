"""Guards against a cut at any byte of a stream that its caller can't notice.

A short stream is cut before, around and in its second event and at its end, in
each framing, by the end and by the reset of the upstream's connection, for
callers with chunks and without. Only a regular end between two events of a
stream without framing can't be noticed.
"""

from __future__ import annotations

import asyncio
import itertools
import unittest
from typing import NamedTuple

from snipebend.transport.abortive_close import reset_on_close
from snipebend.transport.body_framing import BodyFraming
from tests.edge.relay_fixture import (
    TIMEOUT_S,
    encode_stream,
    make_event,
    request,
    running,
)

EVENTS = tuple(make_event(number) for number in (1, 2, 3))
BODY = b''.join(EVENTS)
#: What a caller may have received of a stream: whole events from the first on.
PREFIXES = tuple(b''.join(EVENTS[:number]) for number in range(4))
CUTS = (0, 1, *range(len(PREFIXES[1]) - 1, len(PREFIXES[2]) + 2), len(BODY))


class Cut(NamedTuple):
    """How the first response of a request is cut."""

    framing: BodyFraming
    position: int
    resets: bool

    @property
    def is_noticeable(self):
        """Return whether the stream can be told from a complete one."""
        if self.resets or self.framing is not BodyFraming.CLOSE:
            return True
        return BODY[: self.position] not in PREFIXES[1:]

    @property
    def is_resumable(self):
        """Return whether a later call can prove that the stream is whole.

        A call without framing and without an event proves nothing.
        """
        is_rest_empty = self.position == len(BODY)
        return self.is_noticeable and not (
            is_rest_empty and self.framing is BodyFraming.CLOSE
        )


class CutUpstreams:
    """Cuts the first response, and sends the whole rest to a later call."""

    def __init__(self, cut):
        self.cut = cut
        self.called = False

    async def __call__(self, req, writer):
        body = b''.join(EVENTS[int(req.headers.get('x-after', 0)) :])
        position = None if self.called else self.cut.position
        writer.write(encode_stream(req, body, self.cut.framing, position))
        if not self.called and self.cut.resets:
            reset_on_close(writer.transport)
        self.called = True
        return False


async def read_stream(reader):
    """Return the status, the body, and whether it looks complete."""
    head = await reader.readuntil(b'\r\n\r\n')
    status = int(head.split()[1])
    try:
        received = await reader.read()
    except ConnectionResetError:
        return status, b'', False
    if b'chunked' not in head:
        return status, received, True
    return status, *decode_chunks(received)


def decode_chunks(received):
    """Return the body, and whether the last chunk was received."""
    body = b''
    while received:
        size, _, received = received.partition(b'\r\n')
        length = int(size, 16)
        if not length:
            return body, True
        body += received[:length]
        received = received[length + 2 :]
    return body, False


class TestStreamCuts(unittest.IsolatedAsyncioTestCase):
    """Callers get whole events in order, and can tell whether that is all."""

    async def test_every_cut(self):
        cuts = itertools.starmap(
            Cut, itertools.product(BodyFraming, CUTS, (False, True))
        )
        for cut, version in itertools.product(cuts, (b'1.0', b'1.1')):
            once = await self.call(cut, '/once/', version)
            self.check(cut, once)
            resumed = await self.call(cut, '/stream/', version)
            self.check(cut, resumed)
            if cut.is_resumable:
                self.assertEqual(resumed, (200, BODY, True), cut)

    def check(self, cut, got):
        """Check a response of a stream that was cut."""
        status, body, is_complete = got
        if status == 502:
            return
        self.assertEqual(status, 200)
        self.assertIn(body, PREFIXES, cut)
        if cut.is_noticeable and is_complete:
            self.assertEqual(body, BODY, cut)

    async def call(self, cut, path, version):
        """Return the response to a request through a new relay."""
        script = CutUpstreams(cut)
        async with asyncio.timeout(TIMEOUT_S), running(script, script) as relay:
            reader, writer = await relay.connect()
            data = request(path, Connection='close')
            writer.write(data.replace(b'HTTP/1.1', b'HTTP/%b' % version))
            got = await read_stream(reader)
            writer.close()
        return got


if __name__ == '__main__':
    unittest.main()
