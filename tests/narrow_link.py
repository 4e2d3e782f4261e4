"""A TCP proxy for links that carry little, without a clock.

How long a connection lives is counted in bytes: what a slow link carries until
its user loses patience is the same on each run.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress

_READ_BYTES = 4096
_HOST = '127.0.0.1'


class NarrowLink:
    """Forwards to one address; counts, and may cut, what comes back from it.

    One that doesn't answer counts what comes back, and keeps it.
    """

    def __init__(
        self, target, cut_after=None, on_carried=None, *, answers=True
    ):
        """Cut each connection once it has carried so many bytes back."""
        self.address = ''
        self.carried = 0
        self._target = target
        self._cut_after = cut_after
        self._on_carried = on_carried
        self._answers = answers
        self._writers = []
        self._tasks = set()

    async def __aenter__(self):
        """Listen on a port of the system's choice."""
        self._server = await asyncio.start_server(self._serve, _HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{_HOST}:{port}'
        return self

    async def __aexit__(self, *exc_info):
        """Close all."""
        self._server.close()
        self.cut()
        await asyncio.gather(*self._tasks)

    def cut(self):
        """Break all open connections at both ends."""
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        host, _, port = self._target.rpartition(':')
        onward = await asyncio.open_connection(host, int(port))
        self._writers += [writer, onward[1]]
        with suppress(OSError):
            await asyncio.gather(
                _pump(reader, onward[1]), self._carry_back(onward[0], writer)
            )

    async def _carry_back(self, reader, writer):
        left = self._cut_after
        while received := await reader.read(_READ_BYTES):
            self.carried += len(received)
            if self._on_carried is not None:
                self._on_carried()
            if self._answers:
                writer.write(received)
                await writer.drain()
            if left is not None:
                left -= len(received)
                if left <= 0:
                    break
        writer.transport.abort()


async def _pump(reader, writer):
    while received := await reader.read(_READ_BYTES):
        writer.write(received)
        await writer.drain()
    writer.close()
