"""Guards against daemons that work alone but not together.

All daemons run as separate processes: a fleet is applied, a caller streams a
response through entry, agent and engine, and all processes are terminated.
"""

from __future__ import annotations

import asyncio
import json
import tempfile
import unittest
from pathlib import Path
from types import MappingProxyType

from aiohttp import ClientSession

from snipebend.console.application import main
from snipebend.console.demo_fleet import API_KEY, FLEET, MODEL
from tests.programs import WAIT_TIMEOUT_S, running_cluster

_HEADERS = MappingProxyType({'authorization': f'Bearer {API_KEY}'})


class WholePathTest(unittest.IsolatedAsyncioTestCase):
    """A fleet is applied, a caller is served, and all stop gracefully."""

    async def test_apply_stream_and_stop(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            async with running_cluster(folder) as cluster:
                control = cluster.control.addresses['grpc']
                fleet = folder / 'fleet.toml'
                fleet.write_text(FLEET)
                code = await asyncio.to_thread(
                    main,
                    ['apply', str(fleet), '--control', control],
                )
                self.assertEqual(code, 0)
                entry = cluster.entry.addresses
                await asyncio.wait_for(_until_ready(entry), WAIT_TIMEOUT_S)
                url = f'http://{entry["http"]}/v1/completions'
                async with ClientSession(headers=_HEADERS) as session:
                    text = await _stream(session, url)
                self.assertEqual(len(text.split()), 16)
                programs = (
                    cluster.entry,
                    *cluster.agents,
                    *cluster.engines,
                    cluster.control,
                )
                for program in programs:
                    code = await program.terminate()
                    self.assertEqual(code, 0, '\n'.join(program.log[-40:]))


async def _until_ready(entry: dict[str, str]) -> None:
    """Wait until the entry has its configuration and both upstreams."""
    async with ClientSession() as session:
        while True:
            async with session.get(f'http://{entry["admin"]}/dump') as resp:
                dump = await resp.json()
            if dump['ready'] and len(dump['directory']) == 2:
                return
            await asyncio.sleep(0.02)


async def _stream(session: ClientSession, url: str) -> str:
    body = {'model': MODEL, 'prompt': 'x', 'max_tokens': 16, 'stream': True}
    tokens = []
    async with session.post(url, json=body) as resp:
        async for raw in resp.content:
            payload = raw.decode().strip().removeprefix('data: ')
            if payload.startswith('{'):
                tokens.append(json.loads(payload)['choices'][0]['text'])
    return ''.join(tokens)


if __name__ == '__main__':
    unittest.main()
