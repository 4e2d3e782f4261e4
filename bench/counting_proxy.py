"""A TCP proxy for benches that counts the bytes it forwards."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Self

if TYPE_CHECKING:
    from types import TracebackType

_READ_BYTES = 65536


class CountingProxy:
    """Forwards connections to one address within an ``async with`` block."""

    def __init__(self, target: str) -> None:
        """Create a proxy for a target ``host:port``."""
        self.total_bytes = 0
        host, _, port = target.rpartition(':')
        self._host = host
        self._port = int(port)
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Return the ``host:port`` on which the proxy listens."""
        host, port = self._server.sockets[0].getsockname()
        return f'{host}:{port}'

    async def __aenter__(self) -> Self:
        """Listen on a free port of the loopback interface."""
        self._server = await asyncio.start_server(
            self._accept,
            '127.0.0.1',
            0,
        )
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the listener and all connections."""
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        upstream = await asyncio.open_connection(self._host, self._port)
        for source, target in ((reader, upstream[1]), (upstream[0], writer)):
            task = asyncio.create_task(self._pump(source, target))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(
        self,
        source: asyncio.StreamReader,
        target: asyncio.StreamWriter,
    ) -> None:
        try:
            while chunk := await source.read(_READ_BYTES):
                self.total_bytes += len(chunk)
                target.write(chunk)
                await target.drain()
        finally:
            target.close()
