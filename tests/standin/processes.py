"""Starts the stand-ins as processes of their own, on ports of the OS."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING

from aiohttp import ClientSession

if TYPE_CHECKING:
    from collections.abc import Callable

SOURCES = Path(__file__).parents[2] / 'src'
PATIENCE_S = 30
POLL_S = 0.01


async def wait_until(condition: Callable[[], object]) -> None:
    """Poll until the condition holds; give up after the patience."""
    async with asyncio.timeout(PATIENCE_S):
        while not condition():
            await asyncio.sleep(POLL_S)


class StandinProcess:
    """One process of ``snipebend.standin.main`` and a client to it."""

    def __init__(self, *flags: str) -> None:
        """Remember the flags for the start."""
        self._flags = flags

    async def __aenter__(self) -> StandinProcess:
        """Start and wait until the process listens."""
        self._folder = TemporaryDirectory()
        port_file = Path(self._folder.name) / 'port'
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'snipebend.standin.main',
            '--port-file',
            str(port_file),
            *self._flags,
            env={'PYTHONPATH': str(SOURCES)},
        )
        await wait_until(port_file.exists)
        address = f'http://127.0.0.1:{port_file.read_text()}'
        self.client = ClientSession(address)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """End the process, by force if it still runs."""
        await self.client.close()
        if self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        self._folder.cleanup()

    def terminate(self) -> None:
        """Ask the process to end gracefully."""
        self._process.terminate()

    async def exit_code(self) -> int:
        """Wait for the end of the process."""
        async with asyncio.timeout(PATIENCE_S):
            return await self._process.wait()

    async def fetch(self, path: str) -> dict:
        """Read a JSON document."""
        async with self.client.get(path) as resp:
            return await resp.json()

    async def wait_count(self, name: str, expected: int) -> dict:
        """Wait until a count of ``/executions`` has the expected value."""
        async with asyncio.timeout(PATIENCE_S):
            while True:
                counts = await self.fetch('/executions')
                if counts[name] == expected:
                    return counts
                await asyncio.sleep(POLL_S)
