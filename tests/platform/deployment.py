"""Runs the platform's programs as processes on separate loopback addresses."""

from __future__ import annotations

import asyncio
import shutil
import socket
from contextlib import AsyncExitStack, asynccontextmanager
from itertools import cycle
from pathlib import Path
from typing import TYPE_CHECKING

from aiohttp import ClientSession
from msgspec import json, msgpack

from tests.edge.relay_fixture import FakeUpstream, read_response
from tests.programs import WAIT_TIMEOUT_S, start_module

if TYPE_CHECKING:
    from tests.programs import Program

POLL_S = 0.05
ENTRY_HOST = '127.0.0.9'
HOST = 'ficu95.example'

CONFIG_SERVICE = 's-1'


def config(version, *prefixes, kind='unsafe'):
    """Return a configuration with a route for each path prefix."""
    routes = [
        {
            'name': prefix.strip('/'),
            'host': HOST,
            'path_prefix': prefix,
            'kind': kind,
            'timeout_ms': 3000,
            'service': CONFIG_SERVICE,
            'max_attempts': 2,
        }
        for prefix in prefixes
    ]
    return msgpack.encode(
        {
            'version': version,
            'routes': routes,
            'services': [
                {
                    'name': CONFIG_SERVICE,
                    'health_path': '/healthz',
                    'max_connections': 9,
                }
            ],
            'tenants': [{'name': 't', 'api_keys': ['key']}],
        }
    )


def answer(req):
    """Return a response that carries the upstream's signature."""
    request_id = req.headers['snipebend-attempt-id']
    return (
        f'HTTP/1.1 200 OK\r\nSnipebend-Attempt-Id: {request_id}\r\n'
        'Snipebend-Replica-Signature: s\r\nContent-Length: 5\r\n\r\nwhole'
    ).encode()


def free_ports(number):
    """Return ports that the system reports as free."""
    socks = [socket.socket() for _ in range(number)]
    for sock in socks:
        sock.bind(('127.0.0.1', 0))
    ports = [opened.getsockname()[1] for opened in socks]
    for bound in socks:
        bound.close()
    return ports


class Deployment:
    """Control daemons, one entry and the upstreams of a test."""

    def __init__(
        self,
        folder: Path,
        stack: AsyncExitStack,
        data_centers=(),
        entry_settings='',
    ) -> None:
        self.folder = folder
        self.entry_settings = entry_settings
        self.data_centers = list(data_centers)
        self.stack = stack
        ports = free_ports(5)
        self.grpc_port = ports[0]
        self.admin_port = ports[1]
        self.outer_port = ports[2]
        self.callers_port = ports[3]
        self.ready_port = ports[4]
        self.seeds = [f'127.0.0.{number}:1' for number in (1, 2, 3)]
        self.controls: dict[str, Program] = {}
        self.session = ClientSession()

    async def start_control(self, host, *, bootstrap=False):
        """Start a control daemon on the given host address."""
        text = (
            f'outer = "{host}:{self.outer_port}"\n'
            f'data_centers = {json.encode(self.data_centers).decode()}\n'
            f'[process]\nname = "core-{host}"\ndata_center = "dc-a"\n'
            f'[listen]\nhost = "{host}"\ngrpc_port = {self.grpc_port}\n'
            f'admin_port = {self.admin_port}\n'
            f'[storage]\nfolder = "{self.folder / host}"\n'
            f'[seeds]\naddresses = {json.encode(self.seeds).decode()}\n'
            f'grpc_port = {self.grpc_port}\n'
            f'bootstrap = {str(bootstrap).lower()}\n'
        )
        program = await self._start('control', host, text)
        self.controls[host] = program
        return program

    async def start_entry(self):
        """Start the entry."""
        text = (
            f'callers = "{ENTRY_HOST}:{self.callers_port}"\n'
            f'readiness = "{ENTRY_HOST}:{self.ready_port}"\n'
            'stop_within_s = 3.0\n'
            '[process]\nname = "entry-1"\ndata_center = "dc-a"\n'
            f'[listen]\nhost = "{ENTRY_HOST}"\nadmin_port = {self.admin_port}\n'
            f'[control]\naddresses = {json.encode(self.seeds).decode()}\n'
            f'grpc_port = {self.grpc_port}\n'
            f'{self.entry_settings}'
        )
        self.entry = await self._start('entry', 'entry', text)
        return self.entry

    async def start_upstream(self, script):
        """Start an upstream that handles requests with ``script``."""
        upstream = FakeUpstream(script)
        await upstream.start()
        self.stack.push_async_callback(upstream.stop)
        return upstream

    def wipe(self, host):
        """Delete the data folder of a daemon."""
        shutil.rmtree(self.folder / host)

    async def call(self, path, body=None, hosts=()):
        """Call control daemons in turn until one responds without a 5xx."""
        turns = cycle(hosts or tuple(self.controls))
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                status, text = await self.call_one(next(turns), path, body)
                if status and status < 500:
                    return status, text
                await asyncio.sleep(POLL_S)

    async def call_one(self, host, path, body=None):
        """Call one daemon once; status 0 means no response."""
        method = 'GET' if body is None else 'POST'
        url = f'http://{host}:{self.outer_port}{path}'
        try:
            async with self.session.request(method, url, data=body) as resp:
                return resp.status, await resp.read()
        except OSError:
            return 0, b''

    async def send_heartbeat(
        self, identity, upstream, state='ready', zone='dc-a', **options
    ):
        """Send a heartbeat of an upstream."""
        body = msgpack.encode(
            {
                'service': CONFIG_SERVICE,
                'address': upstream.address,
                'zone': zone,
                'slots': 4,
                'state': state,
                'seq': 1,
            }
        )
        path = f'/-/replicas/{identity}/heartbeat'
        return await self.call(path, body, **options)

    async def send_request(
        self, path='/a/', key='key', request_id='r1', headers=''
    ):
        """Send one request to the entry and return the response."""
        reader, writer = await asyncio.open_connection(
            ENTRY_HOST, self.callers_port
        )
        writer.write(
            (
                f'POST {path} HTTP/1.1\r\nHost: {HOST}\r\n'
                f'Snipebend-Attempt-Id: {request_id}\r\n'
                f'Snipebend-Credential: {key}\r\n{headers}'
                'Content-Length: 0\r\n\r\n'
            ).encode()
        )
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            response = await read_response(reader)
        writer.close()
        return response

    async def send_until(self, status, **options):
        """Send requests until a response has this status."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                response = await self.send_request(**options)
                if response.status == status:
                    return response
                await asyncio.sleep(POLL_S)

    async def dump(self, host):
        """Return the state dump of a process."""
        url = f'http://{host}:{self.admin_port}/dump'
        async with self.session.get(url) as resp:
            return await resp.json()

    async def metrics(self, host):
        """Return the text of a process's metrics."""
        url = f'http://{host}:{self.admin_port}/metrics'
        async with self.session.get(url) as resp:
            return await resp.text()

    async def metrics_until(self, host, metric):
        """Read a process's metrics until they contain a text."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                text = await self.metrics(host)
                if metric in text:
                    return text
                await asyncio.sleep(POLL_S)

    async def _start(self, kind, name, text):
        settings = self.folder / f'{name}.toml'
        settings.write_text(text, encoding='utf-8')
        program = await start_module(
            f'snipebend_platform.{kind}',
            environment={'SNIPEBEND_CONFIG': str(settings)},
        )
        self.stack.push_async_callback(program.kill)
        await program.wait_running()
        return program


@asynccontextmanager
async def deployment(folder, data_centers=(), entry_settings=''):
    """Run three control daemons and one entry."""
    async with AsyncExitStack() as stack:
        cluster = Deployment(Path(folder), stack, data_centers, entry_settings)
        stack.push_async_callback(cluster.session.close)
        await asyncio.gather(
            *(
                cluster.start_control(seed.partition(':')[0], bootstrap=True)
                for seed in cluster.seeds
            ),
            cluster.start_entry(),
        )
        yield cluster
