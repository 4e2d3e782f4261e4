"""TCP wires between processes that a test can cut, silence and mend."""

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
    """Return a port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind((_HOST, 0))
        port: int = probe.getsockname()[1]
        return port


class Wire:
    """One connection: once silent it swallows whatever comes, its end too."""

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


class Wires:
    """All connections to a set of named processes, told apart by both ends."""

    def __init__(self, owner: Callable[[int], str]) -> None:
        """Take a function that names the process behind a local port."""
        self._owner = owner
        self._wires: set[Wire] = set()
        self._cut: set[frozenset[str]] = set()
        self._servers: list[asyncio.Server] = []

    async def lead_to(self, name: str, port: int, target: int) -> None:
        """Forward connections from a port to a process's own port."""

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._accept(name, target, reader, writer)

        server = await asyncio.start_server(accept, _HOST, port)
        self._servers.append(server)

    def cut(self, *pairs: tuple[str, str]) -> None:
        """Drop whatever passes between these, on old and new connections."""
        self._cut |= {frozenset(pair) for pair in pairs}
        for wire in self._wires:
            wire.silent = wire.silent or wire.ends in self._cut

    def silence(self, name: str) -> None:
        """Let a process's open connections go silent; new ones work."""
        for wire in self._wires:
            wire.silent = wire.silent or name in wire.ends

    def mend(self) -> None:
        """Let everything pass again; silent connections stay lost."""
        self._cut.clear()

    def close(self) -> None:
        """End all connections."""
        for server in self._servers:
            server.close()
        for wire in self._wires:
            wire.close()

    async def _accept(
        self,
        name: str,
        target: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        source = self._owner(writer.get_extra_info('peername')[1])
        wire = Wire(frozenset((source, name)))
        wire.silent = wire.ends in self._cut
        try:
            far = await asyncio.open_connection(_HOST, target)
        except OSError:
            writer.close()
            return
        self._wires.add(wire)
        wire.writers += [writer, far[1]]
        for ends in ((reader, far[1]), (far[0], writer)):
            wire.tasks.append(asyncio.create_task(wire.pump(*ends)))
        await asyncio.gather(*wire.tasks, return_exceptions=True)
        self._wires.discard(wire)


def owns_port(pid: int, port: int) -> bool:
    """Tell whether a process has a socket with that local port."""
    try:
        conns = psutil.Process(pid).net_connections('tcp')
    except psutil.Error:
        return False
    return any(conn.laddr.port == port for conn in conns)
