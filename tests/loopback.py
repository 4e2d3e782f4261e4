"""A deployment of processes on loopback whose parts are started on demand."""

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
from tests.fault_proxy import FaultProxy
from tests.programs import (
    WAIT_TIMEOUT_S,
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

#: The demo's fleet file with a service whose calls must not be repeated.
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


class LoopbackDeployment:
    """Starts processes on demand and kills those still running at the end."""

    def __init__(self) -> None:
        """Create a deployment without any process."""
        self._stack = AsyncExitStack()
        self._upstreams = 0
        #: Grace period in seconds of daemons that are started from now on.
        self.grace_s = 0.0

    async def __aenter__(self) -> Self:
        """Start the control daemon."""
        name = self._stack.enter_context(tempfile.TemporaryDirectory())
        self.folder = Path(name)
        self.control = await self._start(
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
        """Kill all processes that are still running."""
        await self._stack.aclose()

    async def start_engine(self, name: str, *flags: str) -> Program:
        """Start a stand-in engine."""
        flags = ('--model', MODEL, *flags)
        return await self._start(start_standin(self.folder, name, *flags))

    async def start_service(self, name: str, delay_ms: int) -> Program:
        """Start a stand-in service."""
        flags = ('--service', '--delay-ms', str(delay_ms))
        return await self._start(start_standin(self.folder, name, *flags))

    async def start_agent(
        self,
        name: str,
        upstream: Program,
        policy: str = 'drafting',
        proxy: FaultProxy | None = None,
    ) -> Program:
        """Start an agent; callers reach it through the proxy, if given."""
        self._upstreams += 1
        toml = agent_toml(
            name,
            self.control.addresses['grpc'],
            policy,
            upstream.addresses['http'],
        )
        toml = self._set_grace(f'{toml}beat_s = 0.1\nsilent_after_s = 1.5\n')
        if proxy is not None:
            public = f'[listen]\npublic_http = "{proxy.address}"'
            toml = toml.replace('[listen]', public)
        agent = await self._start(
            start_daemon('agent', self.folder, name, toml)
        )
        if proxy is not None:
            proxy.target = agent.addresses['http']
        return agent

    async def start_entry(self, name: str) -> Program:
        """Start an entry."""
        toml = entry_toml(name, self.control.addresses['grpc'])
        toml = f'{toml}[connections]\nsilent_after_s = 0.6\n'
        return await self._start(
            start_daemon(
                'entry',
                self.folder,
                name,
                self._set_grace(toml),
            ),
        )

    async def start_proxy(self) -> FaultProxy:
        """Start a fault proxy without a target."""
        return await self._stack.enter_async_context(FaultProxy())

    async def apply_fleet(
        self, *entries: Program, fleet: str = FAULTS_FLEET
    ) -> None:
        """Apply the fleet file; wait until the entries list all upstreams."""
        req = ApplyRequest('faults', 0, fleet)
        applied = await call_any([self.control.addresses['grpc']], APPLY, req)
        assert applied.unwrap().revision == 1, applied
        await asyncio.gather(*map(self._wait_until_ready, entries))

    async def fetch_dump(self, program: Program) -> dict[str, Any]:
        """Return the state dump of a process."""
        url = f'http://{program.addresses["admin"]}/dump'
        async with self.session.get(url) as resp:
            return await resp.json()

    async def fetch_executions(self, standin: Program) -> dict[str, Any]:
        """Return a stand-in's counts of executions."""
        url = f'http://{standin.addresses["http"]}/executions'
        async with self.session.get(url) as resp:
            return await resp.json()

    async def count(self, name: str, *standins: Program) -> int:
        """Return the sum of a named count over stand-ins."""
        counts = [await self.fetch_executions(one) for one in standins]
        return sum(one[name] for one in counts)

    def _set_grace(self, toml: str) -> str:
        return toml.replace('grace_s = 0.0', f'grace_s = {self.grace_s}')

    async def _wait_until_ready(self, entry: Program) -> None:
        async def is_ready() -> bool:
            state = await self.fetch_dump(entry)
            known = len(state['directory'])
            return state['ready'] and known == self._upstreams

        await poll_until(is_ready)

    async def _start(self, starting: Awaitable[Program]) -> Program:
        program = await starting
        self._stack.push_async_callback(program.kill)
        return program


async def poll_until(condition: Callable[[], Awaitable[object]]) -> None:
    """Poll until the condition holds; raise ``TimeoutError`` after 20 s."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
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
