"""A TCP proxy that cuts connections, stalls them or delays their data."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from typing import Self

_READ_BYTES = 65536
_HOST = '127.0.0.1'


class FaultProxy:
    """Forwards connections to ``target`` until a fault is injected.

    ``stall`` affects open connections but not later ones, as when a device
    between the two ends has lost its state of them. After
    ``hold_next_connection``, data that the next connection sends is held until
    ``release_held`` and then forwarded, even if its sender has disconnected.
    """

    def __init__(self, target: str = '') -> None:
        """Create a proxy; the target may be set later."""
        self.target = target
        self.address = ''
        self.held = asyncio.Event()
        self._connections: list[_Connection] = []
        self._released = asyncio.Event()
        self._hold_next_connection = False

    async def __aenter__(self) -> Self:
        """Listen on a free port of the loopback interface."""
        self._server = await asyncio.start_server(self._serve, _HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{_HOST}:{port}'
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close the listener and cut all connections."""
        self._server.close()
        self._released.set()
        self.cut()

    def cut(self) -> None:
        """Abort all open connections at both ends."""
        for link in self._connections:
            link.cut()

    def stall(self) -> None:
        """Stop forwarding on the open connections without closing them."""
        for link in self._connections:
            link.stalled.set()

    def hold_next_connection(self) -> None:
        """Hold the data that the next connection sends."""
        self._hold_next_connection = True

    def release_held(self) -> None:
        """Forward the held data."""
        self._released.set()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        host, _, port = self.target.rpartition(':')
        outbound = await asyncio.open_connection(host, int(port))
        wait_to_forward = (
            self._wait_released if self._hold_next_connection else _do_not_hold
        )
        self._hold_next_connection = False
        link = _Connection(writer, outbound[1])
        self._connections.append(link)
        with suppress(OSError):
            await asyncio.gather(
                link.forward(reader, outbound[1], wait_to_forward),
                link.forward(outbound[0], writer, _do_not_hold),
            )

    async def _wait_released(self) -> None:
        self.held.set()
        await self._released.wait()


class _Connection:
    """A connection to the proxy and its outbound connection."""

    def __init__(self, *writers: asyncio.StreamWriter) -> None:
        self.stalled = asyncio.Event()
        self._writers = writers

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        wait_to_forward: Callable[[], Awaitable[object]],
    ) -> None:
        received = await reader.read(_READ_BYTES)
        while received and not self.stalled.is_set():
            await wait_to_forward()
            writer.write(received)
            await writer.drain()
            received = await reader.read(_READ_BYTES)
        if not self.stalled.is_set():
            writer.close()

    def cut(self) -> None:
        for writer in self._writers:
            writer.transport.abort()


async def _do_not_hold() -> None:
    """Forward without delay."""
