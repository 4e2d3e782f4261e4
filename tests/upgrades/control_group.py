"""Three control daemons, each of a build of its own."""

from __future__ import annotations

import json
import signal
from contextlib import asynccontextmanager
from functools import partial
from itertools import count
from typing import TYPE_CHECKING, Any, NamedTuple

from tests.programs import common_toml
from tests.upgrades import paths
from tests.upgrades.addresses import free_ports, fresh_host
from tests.upgrades.waiting import all_of, until
from tests.upgrades.wire import call

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping
    from pathlib import Path

    from tests.programs import Program
    from tests.upgrades.builds import Build

NAMES = ('c-1', 'c-2', 'c-3')

#: So few that a snapshot is on disk soon.
SNAPSHOT_EVERY = 40


class Place(NamedTuple):
    """Where a group listens; the members' addresses are in its data."""

    host: str
    ports: dict[str, int]

    @classmethod
    def fresh(cls) -> Place:
        """Choose a place."""
        host = fresh_host()
        ports = free_ports(len(NAMES), host)
        return cls(host, dict(zip(NAMES, ports, strict=True)))


class ControlGroup:
    """Starts, stops and asks the three daemons by name."""

    def __init__(
        self, folder: Path, place: Place, builds: Mapping[str, Build]
    ) -> None:
        """Keep where the data is, and the build of each daemon."""
        self.folder = folder
        self.place = place
        self.builds = dict(builds)
        self.programs: dict[str, Program] = {}
        #: Numbers the announcements, which must grow at each daemon.
        self.announced = count(1)

    def address(self, name: str) -> str:
        """Return a daemon's gRPC address."""
        return f'{self.place.host}:{self.place.ports[name]}'

    def addresses(self) -> str:
        """Return all addresses, joined by commas."""
        return ','.join(map(self.address, NAMES))

    def admin(self, name: str) -> str:
        """Return a daemon's administrative address."""
        return self.programs[name].addresses['admin']

    async def start(self, *names: str) -> None:
        """Start daemons and wait until a quorum has confirmed their state."""
        await all_of(map(self._start, names))
        for name in names:
            look = partial(self.confirmed, name)
            await until(f'{name} in its group', look)

    async def stop(self, name: str) -> int:
        """Stop a daemon gracefully and return its exit code."""
        return await self.programs.pop(name).terminate()

    async def describe(self, name: str) -> Any:
        """Return a daemon's view of the group."""
        return await call(self.address(name), paths.DESCRIBE, {})

    async def confirmed(self, name: str) -> bool:
        """Return whether a daemon has a state that a quorum confirmed."""
        view = await self.describe(name)
        voters = view['members']['voters']
        own = view['member']['member_id']
        is_voter = own in {voter['member_id'] for voter in voters}
        return is_voter and view['confirmed_ago_s'] >= 0

    async def leader(self) -> str:
        """Wait until one of the running daemons leads; return its name."""

        async def look() -> str:
            for name in tuple(self.programs):
                if (await self.describe(name))['role'] == 'leader':
                    return name
            return ''

        return await until('a leader', look)

    async def wait_level(self) -> None:
        """Wait until all running daemons have applied the same."""

        async def look() -> bool:
            views = [await self.describe(name) for name in self.programs]
            applied = {view['applied'] for view in views}
            committed = {view['committed'] for view in views}
            return len(applied | committed) == 1

        await until('all daemons level', look)

    async def lead_by(self, name: str) -> None:
        """Let a daemon lead, by a graceful stop of the one that does.

        The third one is paused meanwhile and misses a write, so that the
        leader hands over to the daemon whose log is complete.
        """
        leader = await self.leader()
        if leader == name:
            return
        await self.wait_level()
        third = min(set(NAMES) - {leader, name})
        paused = self.programs[third]
        paused.send(signal.SIGSTOP)
        try:
            await self._write_one(leader)
            await self.stop(leader)
        finally:
            paused.send(signal.SIGCONT)

        await until(f'{name} leads', lambda: self._leads(name))
        await self.start(leader)
        await self.wait_level()

    async def close(self) -> None:
        """End what still runs."""
        for program in self.programs.values():
            await program.kill()
        self.programs.clear()

    async def _leads(self, name: str) -> bool:
        return bool((await self.describe(name))['role'] == 'leader')

    async def _write_one(self, name: str) -> None:
        fields = {'group': 'hand-over', 'holder': name, 'lease_until': 0}
        await call(self.address(name), paths.TAKE_FENCE, fields)

    async def _start(self, name: str) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        toml = control_toml(name, self.folder, self.place)
        self.programs[name] = await self.builds[name].start_daemon(
            'control', self.folder, name, toml
        )


def control_toml(name: str, folder: Path, place: Place) -> str:
    """Return the settings of one member."""
    members = ''.join(
        f'[[members]]\nname = {json.dumps(one)}\n'
        f'address = "{place.host}:{port}"\n'
        for one, port in place.ports.items()
    )
    listen = common_toml(name).replace('127.0.0.1', place.host)
    return (
        f'{listen}grpc_port = {place.ports[name]}\n'
        f'[storage]\nfolder = "{folder / name}"\n'
        f'snapshot_every = {SNAPSHOT_EVERY}\n{members}'
    )


@asynccontextmanager
async def control_group(
    folder: Path, builds: Mapping[str, Build], place: Place | None = None
) -> AsyncIterator[ControlGroup]:
    """Run a group of three and end what still runs of it."""
    group = ControlGroup(folder, place or Place.fresh(), builds)
    try:
        await group.start(*NAMES)
        await group.leader()
        yield group
    finally:
        await group.close()
