"""Step 4: requests through entries and agents of both builds."""

from __future__ import annotations

import json
from itertools import product
from typing import TYPE_CHECKING, Any

from aiohttp import ClientSession

from tests.upgrades.fleet import API_KEY, CALLS
from tests.upgrades.request_path import request_path

if TYPE_CHECKING:
    from pathlib import Path

    from tests.programs import Program
    from tests.upgrades.builds import Build
    from tests.upgrades.reporting import Report, Step
    from tests.upgrades.request_path import RequestPath

_OK = 200
_TOKENS = 16


async def check_requests(
    old: Build, new: Build, folder: Path, report: Report
) -> None:
    """Run both entries and both agents behind one control daemon of each."""
    headers = {'authorization': f'Bearer {API_KEY}'}
    for control in (old, new):
        name = f'requests-control-{control.name}'
        text = 'streams and claimed calls by both entries to both agents'
        with report.step(name, text) as step:
            async with (
                request_path(folder / name, control, old, new) as path,
                ClientSession(headers=headers) as session,
            ):
                await _check_streams(path, session, step)
                await _check_keys(path, session, step)


async def _check_streams(
    path: RequestPath, session: ClientSession, step: Step
) -> None:
    for by, to in product(path.entries, path.entries):
        got = await _stream(session, path.entries[by], f'model-{to}')
        step.equal(f'entry {by} to agent {to}', _TOKENS, got)


async def _stream(session: ClientSession, entry: Program, model: str) -> int:
    """Return how many tokens an entry streams."""
    body = {
        'model': model,
        'prompt': 'x',
        'max_tokens': _TOKENS,
        'stream': True,
    }
    url = f'http://{entry.addresses["http"]}/v1/completions'
    tokens = 0
    async with session.post(url, json=body) as resp:
        async for raw in resp.content:
            payload = raw.decode().strip().removeprefix('data: ')
            if payload.startswith('{'):
                tokens += len(json.loads(payload)['choices'])
    return tokens


async def _check_keys(
    path: RequestPath, session: ClientSession, step: Step
) -> None:
    """Send each key through both entries: it runs once, with one answer."""
    orders = (tuple(path.entries), tuple(reversed(path.entries)))
    for entries, (to, kind) in product(
        orders, zip(path.entries, CALLS, strict=True)
    ):
        key = f'{entries[0]}-first-{kind}'
        answers = [
            await _call(session, path.entries[by], kind, key) for by in entries
        ]
        step.equal(f'{key}: status', _OK, answers[0][0])
        step.equal(f'{key} to agent {to}, then again', *answers)
        runs = await _executions(session, path.upstreams[f'service-{to}'])
        step.equal(f'{key}: runs', 1, runs['by_key'].get(key))


async def _call(
    session: ClientSession, entry: Program, kind: str, key: str
) -> list[Any]:
    url = f'http://{entry.addresses["http"]}/{kind}'
    headers = {'idempotency-key': key}
    async with session.post(url, json={'x': key}, headers=headers) as resp:
        return [resp.status, await resp.text()]


async def _executions(session: ClientSession, upstream: Program) -> Any:
    url = f'http://{upstream.addresses["http"]}/executions'
    async with session.get(url) as resp:
        return await resp.json()
