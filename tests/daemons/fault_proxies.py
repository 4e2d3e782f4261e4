"""TCP proxies between processes, with network faults that a test controls."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from typing import TYPE_CHECKING

import psutil

if TYPE_CHECKING:
    from collections.abc import Callable

_READ_BYTES = 65536
_HOST = '127.0.0.1'


def free_port() -> int:
    """Return a port that is currently free."""
    with socket.socket() as probe:
        probe.bind((_HOST, 0))
        port: int = probe.getsockname()[1]
        return port


class ProxiedConnection:
    """One proxied connection.

    Once silent, it discards all bytes and does not forward the closing of an
    end either.
    """

    def __init__(self, ends: frozenset[str]) -> None:
        self.ends = ends
        self.silent = False
        self.tasks: list[asyncio.Task[None]] = []
        self.writers: list[asyncio.StreamWriter] = []

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        for writer in self.writers:
            writer.close()

    async def pump(
        self, source: asyncio.StreamReader, target: asyncio.StreamWriter
    ) -> None:
        with suppress(OSError):
            while chunk := await source.read(_READ_BYTES):
                if not self.silent:
                    target.write(chunk)
                    await target.drain()
        if not self.silent:
            target.close()


class FaultProxies:
    """Proxies for the connections between named processes.

    Each connection is identified by the processes at its two ends.
    """

    def __init__(self, owner: Callable[[int], str]) -> None:
        """``owner`` returns the name of the process that uses a local port."""
        self._owner = owner
        self._connections: set[ProxiedConnection] = set()
        self._cut: set[frozenset[str]] = set()
        self._servers: list[asyncio.Server] = []

    async def forward_to(self, name: str, port: int, target: int) -> None:
        """Forward connections from ``port`` to the port of a process."""

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._accept(name, target, reader, writer)

        server = await asyncio.start_server(accept, _HOST, port)
        self._servers.append(server)

    def cut(self, *pairs: tuple[str, str]) -> None:
        """Discard all bytes between these pairs, on old and new connections."""
        self._cut |= {frozenset(pair) for pair in pairs}
        for connection in self._connections:
            connection.silent = (
                connection.silent or connection.ends in self._cut
            )

    def silence(self, name: str) -> None:
        """Discard all bytes on a process's open connections; new ones work."""
        for connection in self._connections:
            connection.silent = connection.silent or name in connection.ends

    def heal(self) -> None:
        """Forward new connections again; silent connections stay silent."""
        self._cut.clear()

    def close(self) -> None:
        """Close all connections and listeners."""
        for server in self._servers:
            server.close()
        for connection in self._connections:
            connection.close()

    async def _accept(
        self,
        name: str,
        target: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        source = self._owner(writer.get_extra_info('peername')[1])
        connection = ProxiedConnection(frozenset((source, name)))
        connection.silent = connection.ends in self._cut
        try:
            far = await asyncio.open_connection(_HOST, target)
        except OSError:
            writer.close()
            return
        self._connections.add(connection)
        connection.writers += [writer, far[1]]
        for ends in ((reader, far[1]), (far[0], writer)):
            connection.tasks.append(asyncio.create_task(connection.pump(*ends)))
        await asyncio.gather(*connection.tasks, return_exceptions=True)
        self._connections.discard(connection)


def owns_port(pid: int, port: int) -> bool:
    """Return whether a process has a socket with a local port."""
    try:
        conns = psutil.Process(pid).net_connections('tcp')
    except psutil.Error:
        return False
    return any(conn.laddr.port == port for conn in conns)
