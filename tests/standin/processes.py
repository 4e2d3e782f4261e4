"""Starts stand-ins as separate processes, on ports that the OS assigns."""

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
TIMEOUT_S = 30
POLL_S = 0.01


async def wait_until(condition: Callable[[], object]) -> None:
    """Poll until the condition holds; raise ``TimeoutError`` after 30 s."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(POLL_S)


class StandinProcess:
    """A process of ``snipebend.standin.main`` and an HTTP client for it."""

    def __init__(self, *flags: str) -> None:
        """Store the command-line flags of the process."""
        self._flags = flags

    async def __aenter__(self) -> StandinProcess:
        """Start the process and wait until it is listening."""
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
        """Kill the process if it is still running."""
        await self.client.close()
        if self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        self._folder.cleanup()

    def terminate(self) -> None:
        """Ask the process to stop gracefully."""
        self._process.terminate()

    async def exit_code(self) -> int:
        """Wait until the process has exited; return its exit code."""
        async with asyncio.timeout(TIMEOUT_S):
            return await self._process.wait()

    async def fetch(self, path: str) -> dict:
        """Fetch a JSON document."""
        async with self.client.get(path) as resp:
            return await resp.json()

    async def wait_for_count(self, name: str, expected: int) -> dict:
        """Wait until a count of ``/executions`` has the expected value."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                counts = await self.fetch('/executions')
                if counts[name] == expected:
                    return counts
                await asyncio.sleep(POLL_S)
