"""``snipebend demo``: all daemons and two stand-in engines in one process."""

from __future__ import annotations

import asyncio
import json
import tempfile
from argparse import ArgumentParser, Namespace
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from typing import NamedTuple

from aiohttp import ClientSession

from snipebend.console.connection import call_any
from snipebend.console.demo_fleet import API_KEY, FLEET, MODEL
from snipebend.console.exit_codes import ExitCode
from snipebend.console.output import print_line
from snipebend.daemons.agent import build_agent
from snipebend.daemons.control import build_control
from snipebend.daemons.entry import build_entry
from snipebend.kernel.process import Process
from snipebend.settings.model import (
    AgentSettings,
    ControlSettings,
    EntrySettings,
)
from snipebend.standin.embedded_engine import EmbeddedEngine
from snipebend.standin.settings import EngineConfig
from snipebend.state.messages import ApplyRequest
from snipebend.telemetry.logs import STANDARD_ERROR, set_up_logs
from snipebend.transport.http_server import HttpServer
from snipebend.transport.methods import APPLY
from snipebend.transport.rpc_server import RpcServer

HELP = 'run all daemons in one process and print one completion'
EXAMPLES = 'example: snipebend demo --prompt "Describe a crack in a tile"'

_ENGINES = 2
_ENGINE = EngineConfig(model=MODEL)
_POLL_S = 0.05
_REQUEST_TIMEOUT_S = 15.0
_DATA_CENTER = 'local-1'


class DemoCluster(NamedTuple):
    """Addresses of a running demonstration: control gRPC and entry HTTP."""

    control: str
    entry: str


def configure(parser: ArgumentParser) -> None:
    """Add the command's arguments to the parser."""
    parser.add_argument(
        '--prompt',
        default='Describe the scratched door frame in the hall.',
        help='the prompt to complete',
    )
    parser.add_argument(
        '--verbose',
        action='store_true',
        help='print the logs of all daemons',
    )


def run(args: Namespace) -> int:
    """Start all daemons, stream one completion and stop them gracefully."""
    # Logs go to standard error: standard output holds only the answer.
    set_up_logs('demo', 'INFO' if args.verbose else 'ERROR', STANDARD_ERROR)
    return asyncio.run(_demonstrate(args.prompt))


async def _demonstrate(prompt: str) -> int:
    async with running_cluster() as cluster:
        applied = await call_any(
            [cluster.control],
            APPLY,
            ApplyRequest('demo', 0, FLEET),
        )
        answer = await asyncio.wait_for(
            _request_completion(cluster, prompt), _REQUEST_TIMEOUT_S
        )
        print_line(f'answer:{answer}')
        print_line(f'revision in force: {applied.unwrap().revision}')
    return ExitCode.DONE


@asynccontextmanager
async def running_cluster() -> AsyncIterator[DemoCluster]:
    """Run control, an entry and two agents with engines on loopback."""
    async with AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        control = build_control(_control_settings(folder))
        await stack.enter_async_context(_run_process(control))
        address = control.registry.find('grpc', RpcServer).address
        for number in range(_ENGINES):
            engine = await stack.enter_async_context(EmbeddedEngine(_ENGINE))
            agent = build_agent(
                _agent_settings(f'engine-{number}', address, engine.address),
            )
            await stack.enter_async_context(_run_process(agent))
        entry = build_entry(_entry_settings(address))
        await stack.enter_async_context(_run_process(entry))
        entry_address = entry.registry.find('http', HttpServer).address
        yield DemoCluster(address, entry_address)


@asynccontextmanager
async def _run_process(process: Process) -> AsyncIterator[Process]:
    await process.start()
    try:
        yield process
    finally:
        await process.stop()


async def _request_completion(cluster: DemoCluster, prompt: str) -> str:
    headers = {'authorization': f'Bearer {API_KEY}'}
    body = {'model': MODEL, 'prompt': prompt, 'max_tokens': 12, 'stream': True}
    url = f'http://{cluster.entry}/v1/completions'
    async with ClientSession(headers=headers) as session:
        # Right after an apply the entry may not have the revision yet and
        # refuses the request, so it is sent again until it succeeds.
        while True:
            async with session.post(url, json=body) as response:
                if response.ok:
                    return _join_tokens(await response.text())
            await asyncio.sleep(_POLL_S)


def _join_tokens(events: str) -> str:
    tokens: list[str] = []
    for line in events.splitlines():
        payload = line.removeprefix('data: ')
        if payload.startswith('{'):
            tokens.append(json.loads(payload)['choices'][0]['text'])
    return ''.join(tokens)


def _common_sections(name: str) -> dict[str, object]:
    return {
        'process': {'name': name, 'data_center': _DATA_CENTER},
        'listen': {'grace_s': float(0)},
    }


def _control_settings(folder: str) -> ControlSettings:
    return ControlSettings.from_table(
        {**_common_sections('control'), 'storage': {'folder': folder}},
    )


def _entry_settings(control: str) -> EntrySettings:
    return EntrySettings.from_table(
        {**_common_sections('entry'), 'control': {'addresses': [control]}},
    )


def _agent_settings(name: str, control: str, engine: str) -> AgentSettings:
    return AgentSettings.from_table(
        {
            **_common_sections(name),
            'control': {'addresses': [control]},
            'upstream': {'policy': 'drafting', 'address': engine},
        },
    )
