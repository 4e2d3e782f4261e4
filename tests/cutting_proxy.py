"""A TCP proxy that cuts connections, or goes silent without closing them."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from typing import Self

_READ_BYTES = 65536
_HOST = '127.0.0.1'


class CuttingProxy:
    """Forwards to ``target`` until told otherwise.

    ``silence`` affects the connections that are open, not later ones: as when
    something between the two ends has lost track of them. ``hold_next`` keeps
    what the next connection brings until ``release``, even if its sender is
    gone by then.
    """

    def __init__(self, target: str = '') -> None:
        """Keep the target, which may be set later."""
        self.target = target
        self.address = ''
        self.held = asyncio.Event()
        self._links: list[_Link] = []
        self._released = asyncio.Event()
        self._holds_next = False

    async def __aenter__(self) -> Self:
        """Listen on a port of the system's choice."""
        self._server = await asyncio.start_server(self._serve, _HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{_HOST}:{port}'
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close all."""
        self._server.close()
        self._released.set()
        self.cut()

    def cut(self) -> None:
        """Break all open connections at both ends."""
        for link in self._links:
            link.cut()

    def silence(self) -> None:
        """Forward nothing more on the open connections, and close none."""
        for link in self._links:
            link.silent.set()

    def hold_next(self) -> None:
        """Keep what the next connection brings."""
        self._holds_next = True

    def release(self) -> None:
        """Pass on what was held."""
        self._released.set()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        host, _, port = self.target.rpartition(':')
        onward = await asyncio.open_connection(host, int(port))
        gate = self._wait_released if self._holds_next else _go_on
        self._holds_next = False
        link = _Link(writer, onward[1])
        self._links.append(link)
        with suppress(OSError):
            await asyncio.gather(
                link.pump(reader, onward[1], gate),
                link.pump(onward[0], writer, _go_on),
            )

    async def _wait_released(self) -> None:
        self.held.set()
        await self._released.wait()


class _Link:
    """One connection and its onward one."""

    def __init__(self, *writers: asyncio.StreamWriter) -> None:
        self.silent = asyncio.Event()
        self._writers = writers

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        gate: Callable[[], Awaitable[object]],
    ) -> None:
        received = await reader.read(_READ_BYTES)
        while received and not self.silent.is_set():
            await gate()
            writer.write(received)
            await writer.drain()
            received = await reader.read(_READ_BYTES)
        if not self.silent.is_set():
            writer.close()

    def cut(self) -> None:
        for writer in self._writers:
            writer.transport.abort()


async def _go_on() -> None:
    """Hold nothing."""
