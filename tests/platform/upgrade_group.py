"""The platform's programs, each of a build of its own."""

from __future__ import annotations

from contextlib import asynccontextmanager
from functools import partial
from typing import TYPE_CHECKING, Any

from aiohttp import ClientSession
from msgspec import msgpack

from tests.upgrades.reading import read_dump
from tests.upgrades.templates import PlatformPlace, fill
from tests.upgrades.waiting import all_of, until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping
    from pathlib import Path

    from tests.programs import Program
    from tests.upgrades.builds import Build

#: In the templates.
ADMIN_PORT = 9464
OK = 200
SERVER_ERROR = 500
HOST = 'upgrade.example'
PUT = '/-/config/put'
GET = '/-/config/get'


class PlatformGroup:
    """Control daemons and entries by host, from the deploy templates."""

    def __init__(
        self, folder: Path, place: PlatformPlace, session: ClientSession
    ) -> None:
        """Begin with nothing that runs."""
        self.folder = folder
        self.place = place
        self.programs: dict[str, Program] = {}
        self._session = session

    async def start(
        self, kind: str, host: str, build: Build, other: Build | None = None
    ) -> None:
        """Start a program by its build's template, or by that of another."""
        self.folder.mkdir(parents=True, exist_ok=True)
        template = (other or build).checkout / 'deploy' / f'{kind}.template'
        settings = self.folder / f'{host}.toml'
        text = fill(template, self.place, host, self.folder)
        settings.write_text(text, encoding='utf-8')
        self.programs[host] = await build.start_platform(kind, settings)

    async def start_controls(self, builds: Mapping[str, Build]) -> None:
        """Start control daemons, and wait until they know their group."""
        await all_of(
            self.start('control', host, one) for host, one in builds.items()
        )
        for host in builds:
            look = partial(self.in_group, host)
            await until(f'{host} in its group', look)

    async def in_group(self, host: str) -> bool:
        """Return whether a control daemon follows a quorum of the group."""
        state = (await self.dump(host))['state']
        whole = len(state.get('voters', ())) == len(self.place.controls)
        return whole and (state['confirmed_ago_s'] is not None)

    async def dump(self, host: str) -> Any:
        """Return a program's dump."""
        return await read_dump(f'{host}:{ADMIN_PORT}')

    async def call(
        self, host: str, path: str, body: bytes | None = None
    ) -> Any:
        """Call one daemon until it answers without a 5xx."""
        url = f'http://{host}:{self.place.outer}{path}'
        method = 'GET' if body is None else 'POST'

        async def once() -> tuple[int, bytes] | None:
            async with self._session.request(method, url, data=body) as resp:
                if resp.status >= SERVER_ERROR:
                    return None
                return resp.status, await resp.read()

        return await until(f'{path} at {host}', once)

    async def beat(
        self, host: str, identity: str, **fields: object
    ) -> tuple[int, bytes]:
        """Announce an upstream to a control daemon."""
        beat = {'zone': 'zone-a', 'slots': 4, 'state': 'ready', **fields}
        path = f'/-/replicas/{identity}/heartbeat'
        answer: tuple[int, bytes] = await self.call(
            host, path, msgpack.encode(beat)
        )
        return answer

    async def ask(self, host: str, path: str) -> tuple[int, bytes]:
        """Send a request to an entry until it is served."""

        async def once() -> tuple[int, bytes] | None:
            return await self.ask_once(host, path, OK)

        return await until(f'{path} through {host}', once)

    async def ask_once(
        self, host: str, path: str, status: int
    ) -> tuple[int, bytes] | None:
        """Send a request to an entry; return the answer of that status."""
        headers = {
            'Host': HOST,
            'Snipebend-Attempt-Id': f'r-{host}',
            'Snipebend-Credential': 'key',
        }
        url = f'http://{host}:{self.place.callers}{path}'
        async with self._session.post(url, headers=headers) as resp:
            if resp.status != status:
                return None
            return resp.status, await resp.read()

    async def close(self) -> None:
        """End what still runs."""
        for program in self.programs.values():
            await program.kill()
        self.programs.clear()


def config(version: int, *services: str) -> bytes:
    """Return a document with a route for each service, named as it is."""
    routes = [
        {
            'name': name,
            'host': HOST,
            'path_prefix': f'/{name}/',
            'kind': 'unsafe',
            'timeout_ms': 3000,
            'service': name,
            'max_attempts': 2,
        }
        for name in services
    ]
    return msgpack.encode(
        {
            'version': version,
            'routes': routes,
            'services': [
                {'name': name, 'health_path': '/healthz', 'max_connections': 9}
                for name in services
            ],
            'tenants': [{'name': 't', 'api_keys': ['key']}],
        }
    )


@asynccontextmanager
async def platform_group(
    folder: Path, place: PlatformPlace | None = None
) -> AsyncIterator[PlatformGroup]:
    """End what still runs of a platform group."""
    async with ClientSession() as session:
        group = PlatformGroup(folder, place or PlatformPlace.fresh(), session)
        try:
            yield group
        finally:
            await group.close()
