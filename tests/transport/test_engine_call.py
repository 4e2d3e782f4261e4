"""How the agent judges the ends of an engine's answers, over a socket."""

from __future__ import annotations

import asyncio
import unittest
from contextlib import suppress
from typing import NamedTuple

from snipebend.delivery.messages import AttemptTicket
from snipebend.transport.asgi import Connection
from snipebend.transport.engine_call import EngineCall
from snipebend.transport.forward import HttpClient, Outgoing
from snipebend.transport.frames import Beat, Broken, Chunk, End, Frame, Head

_HOST = '127.0.0.1'
_OK = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = b'%btransfer-encoding: chunked\r\n\r\n' % _OK
_STREAM = b'%bcontent-type: text/event-stream\r\n%b' % (_OK, _CHUNKED[17:])
_A = b'data: a\n\n'
_HALF = b'data: a\n\ndata: b'
_ERROR = b'data: a\n\nevent: error\ndata: x\n\n'
_WHOLE = b'data: a\n\ndata: [DONE]\n\n'
_LAST = b'0\r\n\r\n'


def piece(payload: bytes) -> bytes:
    """Return a piece of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(payload), payload)


class Case(NamedTuple):
    """What the engine sends, how many chunks go on, and the verdict."""

    sent: bytes
    chunks: int
    ending: type[Frame]
    path: str = '/v1/completions'


CASES = (
    Case(b''.join((_STREAM, piece(_WHOLE), _LAST)), 2, End),
    Case(b''.join((_STREAM, piece(_WHOLE))), 2, Broken),
    Case(b''.join((_STREAM, piece(_A), _LAST)), 1, Broken),
    Case(b''.join((_STREAM, piece(_HALF), _LAST)), 1, Broken),
    Case(b''.join((_STREAM, piece(_ERROR), _LAST)), 1, Broken),
    Case(b''.join((_STREAM, piece(_A), _LAST)), 1, End, '/feed'),
    Case(b'%bcontent-length: 4\r\n\r\nbody' % _OK, 1, End),
    Case(b'%bcontent-length: 9\r\n\r\nbody' % _OK, 1, Broken),
    Case(b''.join((_CHUNKED, piece(b'body'))), 1, Broken),
    Case(b'HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n', 0, End),
    Case(b'no http at all\r\n\r\n', 0, Broken),
    Case(b'', 0, Broken),
)


class EngineCallTest(unittest.IsolatedAsyncioTestCase):
    async def test_ends(self) -> None:
        for case in CASES:
            with self.subTest(case=case):
                frames = _without_beats(await _call(case))
                self.assertIsInstance(frames[-1], case.ending)
                # What was read just before a break may be lost with it.
                seqs = [one.seq for one in frames if isinstance(one, Chunk)]
                self.assertEqual(seqs, list(range(7, 7 + len(seqs))))
                self.assertLessEqual(len(seqs), case.chunks)
                if isinstance(frames[-1], End):
                    self.assertIsInstance(frames[0], Head)
                    self.assertEqual(frames[-1].next_seq, 7 + case.chunks)

    async def test_nothing_listens(self) -> None:
        frames = await _ask('127.0.0.1:1', '/', Connection())
        self.assertEqual([type(one) for one in frames], [Broken])
        self.assertFalse(frames[0].ran)

    async def test_quiet_engine_beats_until_the_asker_is_gone(self) -> None:
        quiet = asyncio.Event()

        async def serve(_: object, writer: asyncio.StreamWriter) -> None:
            await quiet.wait()
            writer.close()

        async with await asyncio.start_server(serve, _HOST, 0) as server:
            asker = Connection()
            asking = asyncio.create_task(_ask(_address(server), '/', asker))
            await asyncio.sleep(0.1)
            asker.close()
            frames = await asking
            quiet.set()
        self.assertIsInstance(frames[0], Beat)
        self.assertIsInstance(frames[-1], Broken)


async def _call(case: Case) -> list[Frame]:
    async def serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        # The agent also looks whether anybody listens, and says nothing.
        with suppress(asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(case.sent)
        writer.close()

    async with await asyncio.start_server(serve, _HOST, 0) as server:
        return await _ask(_address(server), case.path, Connection())


async def _ask(peer: str, path: str, asker: Connection) -> list[Frame]:
    client = HttpClient('client')
    ticket = AttemptTicket('r', 1, 1, 0, resume_from=7)
    outgoing = Outgoing('POST', peer, path, {}, b'')
    call = EngineCall(client, outgoing, ticket, 0.02, asker, bool)
    try:
        return [one async for frames in call.frames() for one in frames]
    finally:
        await client.stop()


def _without_beats(frames: list[Frame]) -> list[Frame]:
    return [one for one in frames if not isinstance(one, Beat)]


def _address(server: asyncio.Server) -> str:
    return f'{_HOST}:{server.sockets[0].getsockname()[1]}'


if __name__ == '__main__':
    unittest.main()
