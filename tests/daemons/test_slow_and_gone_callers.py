"""Guards against work for callers that left, and memory filled by slow ones.

A caller disconnects while an engine generates its response, or reads a response
of 100 MiB more slowly than the engine sends it.
"""

from __future__ import annotations

import asyncio
import socket
import unittest
from typing import TYPE_CHECKING

import psutil

from tests.loopback import HEADERS, LoopbackDeployment, completion, poll_until
from tests.programs import Program

if TYPE_CHECKING:
    from typing import Self

_HOST = '127.0.0.1'
_MIB = 1024 * 1024
_EVENT = b'data: {"text": "%b"}\n\n' % (b'x' * 65536)
_EVENTS = 1600
_ANSWER_BYTES = len(_EVENT) * _EVENTS
_TRACE = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'
_HEAD = (
    b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n'
    b'connection: close\r\n\r\n'
)
_EMPTY = b'HTTP/1.1 204 No Content\r\nconnection: close\r\n\r\n'


class _UnthrottledEngine:
    """An engine that streams 100 MiB as fast as it is read."""

    def __init__(self) -> None:
        self.written = 0
        self.head = b''
        self.addresses: dict[str, str] = {}

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(self._serve, _HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.addresses['http'] = f'{_HOST}:{port}'
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._server.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        if not head.startswith(b'POST '):
            # Requests of the agent itself aren't part of the caller's response.
            writer.write(_EMPTY)
            writer.close()
            return
        self.head = head
        writer.write(_HEAD)
        for _ in range(_EVENTS):
            writer.write(_EVENT)
            await writer.drain()
            self.written += len(_EVENT)
        writer.write(b'data: [DONE]\n\n')
        writer.close()


class DisconnectedCallerTest(unittest.IsolatedAsyncioTestCase):
    """A disconnect must reach the engine, with and without streaming."""

    async def test_disconnect_cancels_the_request_in_the_engine(self) -> None:
        async with LoopbackDeployment() as path:
            engine = await path.start_engine('engine')
            entry, _ = await asyncio.gather(
                path.start_entry('entry'),
                path.start_agent('agent', engine),
            )
            await path.apply_fleet(entry)
            for number, streaming in enumerate((True, False), 1):
                await self._disconnect(path, entry, engine, streaming=streaming)
                self.assertEqual(await path.count('cancelled', engine), number)
            self.assertEqual(await path.count('finished', engine), 0)

    async def _disconnect(
        self,
        path: LoopbackDeployment,
        entry: Program,
        engine: Program,
        *,
        streaming: bool,
    ) -> None:
        url = f'http://{entry.addresses["http"]}/v1/completions'
        body = completion('x', 100_000, stream=streaming)
        request = asyncio.create_task(path.session.post(url, data=body))
        await poll_until(lambda: path.count('running', engine))
        if streaming:
            (await request).close()
        request.cancel()

        async def stopped() -> bool:
            return not await path.count('running', engine)

        await poll_until(stopped)


class SlowCallerTest(unittest.IsolatedAsyncioTestCase):
    """The response waits in the engine, not in the daemons' memory."""

    async def test_response_waits_for_a_slow_reader(self) -> None:
        async with LoopbackDeployment() as path, _UnthrottledEngine() as engine:
            entry, agent = await asyncio.gather(
                path.start_entry('entry'),
                path.start_agent('agent', engine),
            )
            await path.apply_fleet(entry)
            before = [_resident_bytes(daemon) for daemon in (entry, agent)]
            reader, writer = await _send_request(entry)
            written = await _final_bytes_written(engine)
            after = [_resident_bytes(daemon) for daemon in (entry, agent)]
            # Only the content of six socket buffers and our own buffers.
            self.assertLess(written, _ANSWER_BYTES / 2)
            for old_bytes, new_bytes in zip(before, after, strict=True):
                self.assertLess(new_bytes - old_bytes, 16 * _MIB)
            size = 0
            while received := await reader.read(_MIB):
                size += len(received)
            self.assertGreater(size, _ANSWER_BYTES)
            writer.close()
            head = engine.head.lower()
            self.assertIn(f'traceparent: {_TRACE}'.encode(), head)
            self.assertIn(b'x-request-id: mine', head)
            self.assertNotIn(b'x-snipebend', head)
            self.assertIn('outcome="ran"', await _metrics(path, entry))


async def _send_request(
    entry: Program,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    sock.setblocking(False)
    host, _, port = entry.addresses['http'].rpartition(':')
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (host, int(port)))
    reader, writer = await asyncio.open_connection(sock=sock, limit=65536)
    body = completion('x', 2)
    head = (
        'POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n'
        f'authorization: {HEADERS["authorization"]}\r\n'
        f'x-request-id: mine\r\ntraceparent: {_TRACE}\r\n'
        'x-snipebend-ticket: forged\r\n'
        f'content-length: {len(body)}\r\n\r\n'
    )
    writer.write(head.encode() + body)
    return reader, writer


async def _metrics(path: LoopbackDeployment, entry: Program) -> str:
    url = f'http://{entry.addresses["admin"]}/metrics'
    async with path.session.get(url) as resp:
        text = await resp.text()
    assert 'snipebend_first_chunk_seconds_bucket' in text, text
    lines = text.splitlines()
    return '\n'.join(line for line in lines if 'snipebend_requests_' in line)


async def _final_bytes_written(engine: _UnthrottledEngine) -> int:
    """Wait until no more bytes are written; return their number."""
    last = -1
    while last != engine.written or not last:
        last = engine.written
        await asyncio.sleep(0.4)
    return last


def _resident_bytes(program: Program) -> int:
    return psutil.Process(program.process.pid).memory_info().rss


if __name__ == '__main__':
    unittest.main()
