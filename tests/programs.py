"""Runs the project's programs as processes, for tests and benches."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

WAIT_TIMEOUT_S = 20.0
POLL_S = 0.02
_STARTED = b'event=started'


class Program:
    """A running program, with its log and its addresses."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        """Wrap a process; its log has not been read yet."""
        self.process = process
        self.log: list[str] = []
        self.addresses: dict[str, str] = {}
        self._reader: asyncio.Task[None] | None = None

    async def wait_started(self, ports_file: Path) -> None:
        """Wait until all services have started; read the ports file."""
        await asyncio.wait_for(self._read_until_started(), WAIT_TIMEOUT_S)
        self.addresses = json.loads(ports_file.read_text('utf-8'))
        self.follow()

    async def wait_running(self) -> None:
        """Wait until all services of a program without ports file started."""
        await asyncio.wait_for(self._read_until_started(), WAIT_TIMEOUT_S)
        self.follow()

    def follow(self) -> None:
        """Read the log in the background."""
        self._reader = asyncio.create_task(self._drain_log())

    def send(self, signum: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(signum)

    async def terminate(self) -> int:
        """Ask for a graceful stop and return the exit code."""
        if self.process.returncode is None:
            self.send(signal.SIGTERM)
        return await self.wait()

    async def wait(self) -> int:
        """Wait until the process has exited and return its exit code."""
        return await asyncio.wait_for(self.process.wait(), WAIT_TIMEOUT_S)

    async def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        if self._reader is not None:
            await self._reader

    async def wait_for_line(self, *words: str) -> None:
        """Wait until the log has a line that contains all the words."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not any(
                all(word in line for word in words) for line in self.log
            ):
                await asyncio.sleep(POLL_S)

    async def _read_until_started(self) -> None:
        while True:
            line = await self._read_line()
            if not line:
                raise RuntimeError('\n'.join(self.log))
            if _STARTED in line:
                return

    async def _drain_log(self) -> None:
        line = await self._read_line()
        while line:
            line = await self._read_line()

    async def _read_line(self) -> bytes:
        assert self.process.stdout is not None
        line = await self.process.stdout.readline()
        self.log.append(line.decode().rstrip())
        return line


async def start_module(
    module: str, *arguments: str, environment: dict[str, str] | None = None
) -> Program:
    """Start ``python -m module`` with its output on a pipe."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        module,
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        env={**os.environ, **(environment or {})},
    )
    return Program(process)


async def start_daemon(
    kind: str,
    folder: Path,
    name: str,
    toml: str,
    environment: dict[str, str] | None = None,
) -> Program:
    """Write the settings, start the daemon and wait until it is running."""
    ports = folder / f'{name}.ports.json'
    ports.unlink(missing_ok=True)
    settings = folder / f'{name}.toml'
    settings.write_text(
        toml.replace('[listen]', f'[listen]\nports_file = "{ports}"'),
        encoding='utf-8',
    )
    program = await start_module(
        f'snipebend.daemons.{kind}', str(settings), environment=environment
    )
    try:
        await program.wait_started(ports)
    except BaseException:
        await program.kill()
        raise
    return program


def common_toml(name: str, data_center: str = 'dc-1') -> str:
    """Return the sections that the settings of all daemons start with."""
    return (
        f'[process]\nname = "{name}"\ndata_center = "{data_center}"\n'
        '[listen]\nhost = "127.0.0.1"\ngrace_s = 0.0\n'
    )


def control_toml(name: str, folder: Path) -> str:
    """Return the settings of a control daemon without other members."""
    return f'{common_toml(name)}[storage]\nfolder = "{folder / name}"\n'


def entry_toml(name: str, control: str) -> str:
    """Return an entry's settings; commas separate ``control`` addresses."""
    return f'{common_toml(name)}[control]\naddresses = {_toml_list(control)}\n'


def agent_toml(name: str, control: str, policy: str, upstream: str) -> str:
    """Return an agent's settings; commas separate ``control`` addresses."""
    return (
        f'{common_toml(name)}[control]\naddresses = {_toml_list(control)}\n'
        f'[upstream]\npolicy = "{policy}"\naddress = "{upstream}"\n'
        'report_every_s = 0.1\n'
    )


def _toml_list(addresses: str) -> str:
    return json.dumps(addresses.split(','))


async def start_standin(
    folder: Path,
    name: str,
    *arguments: str,
    environment: dict[str, str] | None = None,
) -> Program:
    """Start a stand-in engine or service; set its address ``http``."""
    port_file = folder / f'{name}.port'
    program = await start_module(
        'snipebend.standin.main',
        '--port-file',
        str(port_file),
        *arguments,
        environment=environment,
    )
    try:
        port = await asyncio.wait_for(
            _read_port(program, port_file), WAIT_TIMEOUT_S
        )
    except BaseException:
        await program.kill()
        raise
    program.addresses = {'http': f'127.0.0.1:{port}'}
    return program


async def _read_port(program: Program, port_file: Path) -> str:
    while not port_file.exists():
        if program.process.returncode is not None:
            raise RuntimeError(
                f'{port_file.name}: process exited before listening '
                f'(exit code {program.process.returncode})',
            )
        await asyncio.sleep(0.02)
    return port_file.read_text('utf-8')


class Cluster(NamedTuple):
    """A control daemon, an entry, and engines with an agent each."""

    control: Program
    entry: Program
    agents: tuple[Program, ...]
    engines: tuple[Program, ...]


@asynccontextmanager
async def running_cluster(
    folder: Path,
    engine_arguments: tuple[str, ...] = (),
    engines: int = 2,
) -> AsyncIterator[Cluster]:
    """Run a cluster; kill the processes that still run at the end."""
    async with AsyncExitStack() as stack:

        async def keep(starting) -> Program:  # type: ignore[no-untyped-def]
            program = await starting
            stack.push_async_callback(program.kill)
            return program

        control = await keep(
            start_daemon(
                'control',
                folder,
                'control',
                control_toml('control', folder),
            ),
        )
        address = control.addresses['grpc']
        standins = []
        agents = []
        for number in range(engines):
            standins.append(
                await keep(
                    start_standin(
                        folder,
                        f'engine-{number}',
                        '--model',
                        'drafter',
                        *engine_arguments,
                    ),
                ),
            )
            name = f'agent-{number}'
            toml = agent_toml(
                name,
                address,
                'drafting',
                standins[-1].addresses['http'],
            )
            agents.append(
                await keep(start_daemon('agent', folder, name, toml)),
            )
        entry = await keep(
            start_daemon(
                'entry',
                folder,
                'entry',
                entry_toml('entry', address),
            ),
        )
        yield Cluster(control, entry, tuple(agents), tuple(standins))
