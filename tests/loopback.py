"""A whole deployment of processes on loopback, started part by part."""

from __future__ import annotations

import asyncio
import json
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path
from types import MappingProxyType
from typing import TYPE_CHECKING

from aiohttp import ClientSession, TCPConnector

from snipebend.console.connection import call_any
from snipebend.console.demo_fleet import API_KEY, FLEET, MODEL
from snipebend.state.messages import ApplyRequest
from snipebend.transport.methods import APPLY
from tests.cutting_proxy import CuttingProxy
from tests.programs import (
    PATIENCE_S,
    Program,
    agent_toml,
    control_toml,
    entry_toml,
    start_daemon,
    start_standin,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from typing import Any, Self

HEADERS = MappingProxyType({'authorization': f'Bearer {API_KEY}'})
POLL_S = 0.01

#: The demonstration's file with a service whose calls must not be repeated.
FAULTS_FLEET = f"""{FLEET}
[[upstreams]]
name = "booking"
kind = "service"
model = ""
fencing = "ignored"
max_concurrency = 8
slow_start_s = 0.1
ejection_failures = 5
ejection_s = 1.0

[[services]]
name = "booking"
path_prefix = "/confirmations"
upstream = "booking"

[[services.calls]]
method = "POST"
path = "/confirmations"
repeatable = false
"""


class Loopback:
    """Starts processes on demand and ends what still runs."""

    def __init__(self) -> None:
        """Start nothing yet."""
        self._stack = AsyncExitStack()
        self._upstreams = 0
        #: The grace period of what is started from now on, in seconds.
        self.grace_s = 0.0

    async def __aenter__(self) -> Self:
        """Start the control daemon."""
        name = self._stack.enter_context(tempfile.TemporaryDirectory())
        self.folder = Path(name)
        self.control = await self._keep(
            start_daemon(
                'control',
                self.folder,
                'control',
                control_toml('control', self.folder),
            ),
        )
        self.session = await self._stack.enter_async_context(
            ClientSession(headers=HEADERS, connector=TCPConnector(limit=0)),
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """End all processes."""
        await self._stack.aclose()

    async def engine(self, name: str, *flags: str) -> Program:
        """Start a stand-in engine."""
        flags = ('--model', MODEL, *flags)
        return await self._keep(start_standin(self.folder, name, *flags))

    async def service(self, name: str, delay_ms: int) -> Program:
        """Start a stand-in service."""
        flags = ('--service', '--delay-ms', str(delay_ms))
        return await self._keep(start_standin(self.folder, name, *flags))

    async def agent(
        self,
        name: str,
        upstream: Program,
        policy: str = 'drafting',
        proxy: CuttingProxy | None = None,
    ) -> Program:
        """Start an agent, reached through the proxy if there is one."""
        self._upstreams += 1
        toml = agent_toml(
            name,
            self.control.addresses['grpc'],
            policy,
            upstream.addresses['http'],
        )
        toml = self._with_grace(f'{toml}beat_s = 0.1\nsilent_after_s = 1.5\n')
        if proxy is not None:
            public = f'[listen]\npublic_http = "{proxy.address}"'
            toml = toml.replace('[listen]', public)
        agent = await self._keep(start_daemon('agent', self.folder, name, toml))
        if proxy is not None:
            proxy.target = agent.addresses['http']
        return agent

    async def entry(self, name: str) -> Program:
        """Start an entry."""
        toml = entry_toml(name, self.control.addresses['grpc'])
        toml = f'{toml}[connections]\nsilent_after_s = 0.6\n'
        return await self._keep(
            start_daemon(
                'entry',
                self.folder,
                name,
                self._with_grace(toml),
            ),
        )

    async def proxy(self) -> CuttingProxy:
        """Start a proxy."""
        return await self._stack.enter_async_context(CuttingProxy())

    async def serve(self, *entries: Program, fleet: str = FAULTS_FLEET) -> None:
        """Apply the fleet file; wait until the entries know all upstreams."""
        req = ApplyRequest('faults', 0, fleet)
        applied = await call_any([self.control.addresses['grpc']], APPLY, req)
        assert applied.unwrap().revision == 1, applied
        await asyncio.gather(*map(self._until_ready, entries))

    async def dump(self, program: Program) -> dict[str, Any]:
        """Return a process's state."""
        url = f'http://{program.addresses["admin"]}/dump'
        async with self.session.get(url) as resp:
            return await resp.json()

    async def executions(self, standin: Program) -> dict[str, Any]:
        """Return a stand-in's counts of what it has run."""
        url = f'http://{standin.addresses["http"]}/executions'
        async with self.session.get(url) as resp:
            return await resp.json()

    async def count(self, name: str, *standins: Program) -> int:
        """Return the sum of one count over stand-ins."""
        counts = [await self.executions(one) for one in standins]
        return sum(one[name] for one in counts)

    def _with_grace(self, toml: str) -> str:
        return toml.replace('grace_s = 0.0', f'grace_s = {self.grace_s}')

    async def _until_ready(self, entry: Program) -> None:
        async def is_ready() -> bool:
            state = await self.dump(entry)
            known = len(state['directory'])
            return state['ready'] and known == self._upstreams

        await until(is_ready)

    async def _keep(self, starting: Awaitable[Program]) -> Program:
        program = await starting
        self._stack.push_async_callback(program.kill)
        return program


async def until(condition: Callable[[], Awaitable[object]]) -> None:
    """Poll until the condition holds; give up after the patience."""
    async with asyncio.timeout(PATIENCE_S):
        while not await condition():
            await asyncio.sleep(POLL_S)


def completion(prompt: str, tokens: int, *, stream: bool = True) -> bytes:
    """Return the body of a completion call."""
    body = {
        'model': MODEL,
        'prompt': prompt,
        'max_tokens': tokens,
        'stream': stream,
    }
    return json.dumps(body).encode()
