"""Entries, agents and upstreams of both builds behind one control daemon."""

from __future__ import annotations

from contextlib import AsyncExitStack, asynccontextmanager
from itertools import product
from typing import TYPE_CHECKING

from tests.programs import (
    agent_toml,
    control_toml,
    entry_toml,
    start_standin,
)
from tests.upgrades.contents import apply
from tests.upgrades.fleet import fleet_of
from tests.upgrades.reading import read_dump
from tests.upgrades.waiting import until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable
    from pathlib import Path

    from tests.programs import Program
    from tests.upgrades.builds import Build

_KINDS = ('model', 'service')


class RequestPath:
    """Starts the programs; entries and upstreams by their build's name."""

    def __init__(self, folder: Path, stack: AsyncExitStack) -> None:
        """Begin with nothing that runs."""
        self.entries: dict[str, Program] = {}
        #: By kind and build, as in the names of the fleet file's policies.
        self.upstreams: dict[str, Program] = {}
        self._folder = folder
        self._stack = stack
        self._control = ''

    async def start(self, control: Build, *builds: Build) -> None:
        """Start all, and wait until the entries know all of it."""
        toml = control_toml('control', self._folder)
        starting = control.start_daemon(
            'control', self._folder, 'control', toml
        )
        self._control = (await self._keep(starting)).addresses['grpc']
        text = fleet_of(tuple(build.name for build in builds))
        await until('a fleet', lambda: apply(self._control, 'fleet', text, 0))
        for build, kind in product(builds, _KINDS):
            await self._start_upstream(build, kind)
        for build in builds:
            await self._start_entry(build)
        await until('entries with all agents', self._is_whole)

    async def _start_upstream(self, build: Build, kind: str) -> None:
        policy = f'{kind}-{build.name}'
        flags = ('--service',) if kind == 'service' else ('--model', policy)
        engine = await self._keep(
            start_standin(
                self._folder, policy, *flags, environment=build.environment
            )
        )
        self.upstreams[policy] = engine
        name = f'agent-{policy}'
        address = engine.addresses['http']
        toml = agent_toml(name, self._control, policy, address)
        await self._keep(build.start_daemon('agent', self._folder, name, toml))

    async def _start_entry(self, build: Build) -> None:
        name = f'entry-{build.name}'
        toml = entry_toml(name, self._control)
        self.entries[build.name] = await self._keep(
            build.start_daemon('entry', self._folder, name, toml)
        )

    async def _keep(self, starting: Awaitable[Program]) -> Program:
        program = await starting
        self._stack.push_async_callback(program.kill)
        return program

    async def _is_whole(self) -> bool:
        """Return whether each entry knows all agents and the other entry."""
        for entry in self.entries.values():
            dump = await read_dump(entry.addresses['admin'])
            known = len(dump['directory'])
            beside = dump['routing']['counts']['entries']
            found = [known, beside]
            if found != [len(self.upstreams), len(self.entries)]:
                return False
        return True


@asynccontextmanager
async def request_path(
    folder: Path, control: Build, *builds: Build
) -> AsyncIterator[RequestPath]:
    """Run all, and end what still runs of it."""
    folder.mkdir()
    async with AsyncExitStack() as stack:
        made = RequestPath(folder, stack)
        await made.start(control, *builds)
        yield made
