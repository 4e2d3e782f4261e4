"""A stand-in for the platform: settings files, processes and addresses.

Each machine has its own loopback address, and ports are the same on all of
them. The programs are started with the commands and the settings templates of
the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import re
import signal
import socket
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
FRONT_PORT = 8227
READY_PORT = 8220
CONTROL_PORT = 8229
INTERNAL_PORTS = (7340, 7355)
ADMIN_PORT = 9464
ZONES = ('zone-a', 'zone-b', 'zone-c')
#: Seconds after which the platform starts a process again.
RESTART_DELAY_S = 0.5

_TAG = re.compile(r'\{\{([#^/]?)([^{}]+?)\}\}')


def render(text: str, fields: dict[str, Any]) -> str:
    """Fill in a settings template as the pages describe."""
    return _render(text, [fields], '', '')


def _render(text: str, scopes: list[Any], key: str, comma: str) -> str:
    out: list[str] = []
    position = 0
    while found := _TAG.search(text, position):
        out.append(text[position : found.start()])
        mark, name = found.groups()
        position = found.end()
        if mark:
            end = text.index('{{/' + name + '}}', position)
            inner = text[position:end]
            position = end + len(name) + 5
            out.append(_render_section(mark, name, inner, scopes))
        elif name == ',':
            out.append(comma)
        else:
            out.append(key if name == '@' else _to_text(_find(name, scopes)))
    return ''.join(out) + text[position:]


def _render_section(mark: str, name: str, inner: str, scopes: list[Any]) -> str:
    found = _find(name, scopes)
    if mark == '^':
        return '' if found else _render(inner, scopes, '', '')
    if not found and not isinstance(found, int | float):
        return ''
    if isinstance(found, dict):
        pairs = list(found.items())
    elif isinstance(found, list | tuple):
        pairs = list(enumerate(found))
    else:
        return _render(inner, [*scopes, found], '', '')
    return ''.join(
        _render(inner, [*scopes, one], str(at), ',' * (number < len(pairs)))
        for number, (at, one) in enumerate(pairs, 1)
    )


def _find(name: str, scopes: list[Any]) -> Any:
    if name == '.':
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split('.'):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list | tuple) and part.isdigit():
                value = value[int(part)]
            else:
                value = None
        if value is not None:
            return value
    return None


def _to_text(value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    return '' if value is None else str(value)


class Machine:
    """One machine with one program."""

    def __init__(
        self, bed: Bed, role: str, name: str, ip: str, zone: str
    ) -> None:
        """Keep its place; ``start`` runs the program."""
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.started_at = 0.0
        self.ended: list[tuple[float, int]] = []
        self._bed = bed
        self._process: asyncio.subprocess.Process | None = None
        self._watch: asyncio.Task[None] | None = None
        self._stopping = False

    @property
    def front(self) -> tuple[str, int]:
        """Return the address for requesters."""
        return self.ip, FRONT_PORT

    @property
    def control(self) -> tuple[str, int]:
        """Return the address for replicas and the operator."""
        return self.ip, CONTROL_PORT

    def write_settings(self, **changes: Any) -> Path:
        """Write the settings file as the platform does."""
        role = self._bed.deploy['roles'][self.role]
        template = (ROOT / role['template']).read_text()
        fields = self._bed.fields(self) | changes
        path = self._bed.folder / f'{self.name}.toml'
        path.write_text(render(template, fields))
        return path

    async def start(self) -> None:
        """Start the program, and start it again whenever it ends."""
        self._stopping = False
        await self._spawn()
        self._watch = asyncio.create_task(self._keep())

    def signal(self, signum: int) -> bool:
        """Send a signal to the process; return whether there is one."""
        process = self._process
        if process is None or process.returncode is not None:
            return False
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signum)
        return True

    def memory_mb(self) -> int:
        """Return what the process holds in memory; 0 if there is none."""
        process = self._process
        if process is None or process.returncode is not None:
            return 0
        with contextlib.suppress(OSError):
            status = Path(f'/proc/{process.pid}/status').read_text()
            found = re.search(r'VmRSS:\s+(\d+) kB', status)
            return int(found[1]) // 1024 if found else 0
        return 0

    async def stop(self) -> None:
        """End the process for good."""
        self._stopping = True
        if self._watch is not None:
            self._watch.cancel()
        self.signal(signal.SIGCONT)
        if self.signal(signal.SIGKILL):
            assert self._process is not None
            await self._process.wait()

    async def _spawn(self) -> None:
        role = self._bed.deploy['roles'][self.role]
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['SNIPEBEND_CONFIG'] = str(self.write_settings())
        with (self._bed.folder / f'{self.name}.out').open('ab') as output:
            self._process = await asyncio.create_subprocess_exec(
                *role['run'].split(),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.started_at = self._bed.now()

    async def _keep(self) -> None:
        while not self._stopping:
            assert self._process is not None
            code = await self._process.wait()
            self.ended.append((self._bed.now(), code))
            self._bed.note(f'{self.name} has ended, code {code}')
            await asyncio.sleep(RESTART_DELAY_S)
            await self._spawn()
            self._bed.note(f'{self.name} is started again')


class Bed:
    """All machines of a small deployment, and the record of a run."""

    def __init__(
        self,
        folder: Path,
        record: Path,
        fronts: int = 5,
        cores: int = 3,
        memory_mb: int = 300,
    ) -> None:
        """Choose free addresses."""
        self.folder = folder
        self._memory_mb = memory_mb
        self.deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text()
        )
        self._loop = asyncio.get_running_loop()
        self._began_at = self._loop.time()
        self._record = record.open('w')
        self._net = self._choose_net(fronts + cores)
        self.fronts = [
            self._machine('entry', 'front', number) for number in range(fronts)
        ]
        self.cores = [
            self._machine('control', 'core', number) for number in range(cores)
        ]

    def now(self) -> float:
        """Return seconds since the start of the run."""
        return self._loop.time() - self._began_at

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self._record.write(f'{self.now():9.3f} s  {text}\n')
        self._record.flush()

    def replica_ip(self, number: int) -> str:
        """Return a loopback address for a replica."""
        return f'{self._net}.{100 + number}'

    def fields(self, machine: Machine) -> dict[str, Any]:
        """Return the fields of a machine's settings."""
        listen = {'control': f'{machine.ip}:{CONTROL_PORT}'}
        if machine in self.fronts:
            listen = {
                'front': f'{machine.ip}:{FRONT_PORT}',
                'ready': f'{machine.ip}:{READY_PORT}',
            }
        return {
            'node': machine.name,
            'ip': machine.ip,
            'zone': machine.zone,
            'region': 'region',
            'zones': dict.fromkeys(ZONES, 'region'),
            'listen': listen,
            'internal_ports': INTERNAL_PORTS,
            'seeds': [f'{one.ip}:{CONTROL_PORT}' for one in self.cores[:3]],
            'bootstrap': True,
            'data_dir': str(self.folder / f'data-{machine.name}'),
            'limits': {'memory_mb': self._memory_mb},
            'bounds': {'retry_budget_ratio': 0.2, 'budget_slack': 92},
        }

    async def start(self) -> None:
        """Start all programs."""
        for machine in (*self.cores, *self.fronts):
            if machine in self.cores:
                (self.folder / f'data-{machine.name}').mkdir()
            await machine.start()

    async def stop(self) -> None:
        """End all programs."""
        for machine in (*self.fronts, *self.cores):
            await machine.stop()
        self._record.close()

    def _machine(self, role: str, kind: str, number: int) -> Machine:
        last = 10 + number if kind == 'front' else 30 + number
        zone = ZONES[number % len(ZONES)]
        return Machine(
            self, role, f'{kind}-{number}', f'{self._net}.{last}', zone
        )

    def _choose_net(self, machines: int) -> str:
        for _ in range(50):
            net = f'127.{random.randint(1, 250)}.{random.randint(1, 250)}'
            if all(_is_free(f'{net}.{last}') for last in (10, 12, 30, 32)):
                return net
        raise OSError('no free loopback addresses')


def _is_free(ip: str) -> bool:
    ports = (FRONT_PORT, READY_PORT, CONTROL_PORT, INTERNAL_PORTS[0])
    for port in (*ports, ADMIN_PORT):
        with socket.socket() as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                return False
    return True
