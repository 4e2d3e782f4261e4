"""A TCP proxy that simulates slow links by counting bytes instead of time.

The lifetime of a connection is limited in bytes: the amount that a slow link
transfers until its user times out is then the same on each run.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress

_READ_BYTES = 4096
_HOST = '127.0.0.1'


class ByteCountingLink:
    """Forwards to a target; counts and may limit the bytes of its replies.

    With ``forwards_replies=False``, replies are counted but not forwarded.
    """

    def __init__(
        self, target, cut_after=None, on_returned=None, *, forwards_replies=True
    ):
        """Create a link that cuts a connection after ``cut_after`` reply bytes.

        ``on_returned`` is called after each part of a reply.
        """
        self.address = ''
        self.returned_bytes = 0
        self._target = target
        self._cut_after = cut_after
        self._on_returned = on_returned
        self._forwards_replies = forwards_replies
        self._writers = []
        self._tasks = set()

    async def __aenter__(self):
        """Listen on a free port of the loopback interface."""
        self._server = await asyncio.start_server(self._serve, _HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{_HOST}:{port}'
        return self

    async def __aexit__(self, *exc_info):
        """Close the listener and cut all connections."""
        self._server.close()
        self.cut()
        await asyncio.gather(*self._tasks)

    def cut(self):
        """Abort all open connections at both ends."""
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        host, _, port = self._target.rpartition(':')
        outbound = await asyncio.open_connection(host, int(port))
        self._writers += [writer, outbound[1]]
        with suppress(OSError):
            await asyncio.gather(
                _forward(reader, outbound[1]),
                self._forward_back(outbound[0], writer),
            )

    async def _forward_back(self, reader, writer):
        remaining = self._cut_after
        while received := await reader.read(_READ_BYTES):
            self.returned_bytes += len(received)
            if self._on_returned is not None:
                self._on_returned()
            if self._forwards_replies:
                writer.write(received)
                await writer.drain()
            if remaining is not None:
                remaining -= len(received)
                if remaining <= 0:
                    break
        writer.transport.abort()


async def _forward(reader, writer):
    while received := await reader.read(_READ_BYTES):
        writer.write(received)
        await writer.drain()
    writer.close()
