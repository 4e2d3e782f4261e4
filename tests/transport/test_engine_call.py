"""Guards against taking an incomplete engine response for a complete one.

An engine stops in the middle of an event or the body, sends an error event, or
closes the connection before the stream's end marker. A complete response must
not be reported as broken, and a quiet engine must not end the heartbeats.
"""

from __future__ import annotations

import asyncio
import unittest
from contextlib import suppress
from typing import TYPE_CHECKING, NamedTuple

from snipebend.delivery.messages import AttemptTicket
from snipebend.transport.abortive_close import reset_on_close
from snipebend.transport.asgi import Connection
from snipebend.transport.engine_call import EngineCall
from snipebend.transport.forward import HttpClient, OutgoingRequest
from snipebend.transport.frames import Beat, Broken, Chunk, End, Frame, Head

if TYPE_CHECKING:
    from collections.abc import Callable

_HOST = '127.0.0.1'
_OK = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = b'%btransfer-encoding: chunked\r\n\r\n' % _OK
_STREAM = b'%bcontent-type: text/event-stream\r\n%b' % (_OK, _CHUNKED[17:])
_A = b'data: a\n\n'
_PARTIAL = b'data: a\n\ndata: b'
_ERROR = b'data: a\n\nevent: error\ndata: x\n\n'
_COMPLETE = b'data: a\n\ndata: [DONE]\n\n'
_LAST_CHUNK = b'0\r\n\r\n'


def encode_chunk(payload: bytes) -> bytes:
    """Return one chunk in the chunked transfer coding."""
    return b'%x\r\n%b\r\n' % (len(payload), payload)


class Case(NamedTuple):
    """Bytes of the engine, most chunks to expect, and the last frame."""

    sent: bytes
    chunks: int
    last_frame: type[Frame]
    path: str = '/v1/completions'


CASES = (
    Case(b''.join((_STREAM, encode_chunk(_COMPLETE), _LAST_CHUNK)), 2, End),
    Case(b''.join((_STREAM, encode_chunk(_COMPLETE))), 2, Broken),
    Case(b''.join((_STREAM, encode_chunk(_A), _LAST_CHUNK)), 1, Broken),
    Case(b''.join((_STREAM, encode_chunk(_PARTIAL), _LAST_CHUNK)), 1, Broken),
    Case(b''.join((_STREAM, encode_chunk(_ERROR), _LAST_CHUNK)), 1, Broken),
    Case(b''.join((_STREAM, encode_chunk(_A), _LAST_CHUNK)), 1, End, '/feed'),
    Case(b'%bcontent-length: 4\r\n\r\nbody' % _OK, 1, End),
    Case(b'%bcontent-length: 9\r\n\r\nbody' % _OK, 1, Broken),
    Case(b''.join((_CHUNKED, encode_chunk(b'body'))), 1, Broken),
    Case(b'HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n', 0, End),
    Case(b'no http at all\r\n\r\n', 0, Broken),
    Case(b'', 0, Broken),
)


class EngineCallTest(unittest.IsolatedAsyncioTestCase):
    """Each way in which a response ends gives the right last frame."""

    async def test_ends(self) -> None:
        for case in CASES:
            with self.subTest(case=case):
                frames = _without_beats(await _call_engine(case))
                self.assertIsInstance(frames[-1], case.last_frame)
                # Bytes read just before an abort can be lost.
                seqs = [one.seq for one in frames if isinstance(one, Chunk)]
                self.assertEqual(seqs, list(range(7, 7 + len(seqs))))
                self.assertLessEqual(len(seqs), case.chunks)
                if isinstance(frames[-1], End):
                    self.assertIsInstance(frames[0], Head)
                    self.assertEqual(frames[-1].next_seq, 7 + case.chunks)

    async def test_reset_never_ends_a_body_without_framing(self) -> None:
        ends = []
        for head in (_OK, b'%bcontent-type: text/event-stream\r\n' % _OK):
            case = Case(b'%b\r\n%b' % (head, _A), 1, Broken, '/feed')
            frames = _without_beats(await _call_engine(case, reset=True))
            ends.append(type(frames[-1]))
        self.assertEqual(ends, [Broken, Broken])

    async def test_connection_refused(self) -> None:
        frames = await _collect_frames('127.0.0.1:1', '/', Connection())
        self.assertEqual([type(one) for one in frames], [Broken])
        self.assertFalse(frames[0].ran)

    async def test_heartbeats_until_the_requester_disconnects(self) -> None:
        quiet = asyncio.Event()

        async def serve(_: object, writer: asyncio.StreamWriter) -> None:
            await quiet.wait()
            writer.close()

        async with await asyncio.start_server(serve, _HOST, 0) as server:
            requester = Connection()
            collecting = asyncio.create_task(
                _collect_frames(_address(server), '/', requester)
            )
            await asyncio.sleep(0.1)
            requester.close()
            frames = await collecting
            quiet.set()
        self.assertIsInstance(frames[0], Beat)
        self.assertIsInstance(frames[-1], Broken)


async def _call_engine(case: Case, *, reset: bool = False) -> list[Frame]:
    """Return the frames of a call whose engine sends ``case.sent``.

    With ``reset`` it resets the connection once the agent has read the bytes.
    """
    received = asyncio.Event()

    async def serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        # The agent also probes the address without sending a request.
        with suppress(asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(case.sent)
            if reset:
                await received.wait()
                reset_on_close(writer.transport)
        writer.close()

    async with await asyncio.start_server(serve, _HOST, 0) as server:
        return await _collect_frames(
            _address(server), case.path, Connection(), received.set
        )


async def _collect_frames(
    peer: str,
    path: str,
    requester: Connection,
    on_chunk: Callable[[], object] = bool,
) -> list[Frame]:
    client = HttpClient('client')
    ticket = AttemptTicket('r', 1, 1, 0, resume_from=7)
    outgoing = OutgoingRequest('POST', peer, path, {}, b'')
    call = EngineCall(client, outgoing, ticket, 0.02, requester, bool)
    try:
        collected: list[Frame] = []
        async for frames in call.frames():
            collected.extend(frames)
            if any(isinstance(one, Chunk) for one in frames):
                on_chunk()
        return collected
    finally:
        await client.stop()


def _without_beats(frames: list[Frame]) -> list[Frame]:
    return [one for one in frames if not isinstance(one, Beat)]


def _address(server: asyncio.Server) -> str:
    return f'{_HOST}:{server.sockets[0].getsockname()[1]}'


if __name__ == '__main__':
    unittest.main()
