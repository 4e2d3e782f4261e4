"""A checkout whose programs are started: the old or the new build."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

from tests.programs import WAIT_TIMEOUT_S, Program, start_daemon, start_module

_WHERE = (
    'import snipebend, snipebend_platform;'
    'print(snipebend.__file__);print(snipebend_platform.__file__)'
)


class Printed(NamedTuple):
    """What a command of the console ended with."""

    code: int
    out: str
    err: str


class Build(NamedTuple):
    """One checkout under a name for reports."""

    name: str
    checkout: Path

    @property
    def environment(self) -> dict[str, str]:
        """Return what makes a program load this checkout."""
        parts = (self.checkout / 'src', self.checkout / 'platform')
        compiled = Path(tempfile.gettempdir()) / 'upgrades-compiled'
        return {
            'PYTHONPATH': os.pathsep.join(map(str, parts)),
            # Nothing is written into a checkout.
            'PYTHONPYCACHEPREFIX': str(compiled),
        }

    async def start_daemon(
        self, kind: str, folder: Path, name: str, toml: str
    ) -> Program:
        """Start ``snipebend-<kind>`` and wait for it."""
        return await start_daemon(kind, folder, name, toml, self.environment)

    async def start_platform(self, kind: str, settings: Path) -> Program:
        """Start a program of the platform and wait for it."""
        named = {'SNIPEBEND_CONFIG': str(settings)}
        program = await start_module(
            f'snipebend_platform.{kind}',
            environment={**self.environment, **named},
        )
        try:
            await program.wait_running()
        except BaseException:
            await program.kill()
            raise
        return program

    async def console(self, *arguments: str) -> Printed:
        """Run one command of operators."""
        return await self.run('-m', 'snipebend.console.application', *arguments)

    async def loaded_from(self) -> list[str]:
        """Return the files that the packages are loaded from."""
        return (await self.run('-c', _WHERE)).out.split()

    async def run(self, *arguments: str) -> Printed:
        """Run the interpreter to its end."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, **self.environment},
        )
        try:
            out, err = await asyncio.wait_for(
                process.communicate(), WAIT_TIMEOUT_S
            )
        finally:
            if process.returncode is None:
                process.kill()
        return Printed(process.returncode or 0, out.decode(), err.decode())
