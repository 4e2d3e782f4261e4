"""A request that kills engines, sent through two entries at the same time."""

from __future__ import annotations

import asyncio
import json
import unittest
from typing import TYPE_CHECKING, NamedTuple

from aiohttp import ClientError

from snipebend.console.connection import call_any
from snipebend.routing.quarantine import fingerprint_of
from snipebend.standin.batcher import render_token
from snipebend.state.crashes import CrashReport
from snipebend.transport.methods import REPORT_CRASH
from tests.loopback import POLL_S, LoopbackDeployment, completion, poll_until

if TYPE_CHECKING:
    from tests.programs import Program

_ENGINES = 3
#: The fleet file's default.
_CRASH_LIMIT = 2
_TOKENS = 10
_PATIENCE_S = 12.0
_PATH = '/v1/completions'
_POISON = 'goes BOOM'
_INNOCENT = tuple(f'good {number}' for number in range(6))


class _Told(NamedTuple):
    status: int
    outcome: str
    retry_after: str = '0'
    text: str = ''


class SuspectsAloneTest(unittest.IsolatedAsyncioTestCase):
    """One upstream has died before with the poison and innocents on it."""

    async def test_entries_together_spend_one_upstream_at_a_time(self) -> None:
        async with LoopbackDeployment() as path:
            engines, entries = await _start(path)
            await _report_first_death(path, entries)
            good = [
                asyncio.create_task(
                    _until_served(path, entries[number % 2], prompt)
                )
                for number, prompt in enumerate(_INNOCENT)
            ]
            poisoned = await asyncio.gather(
                *(_until_quarantined(path, entry) for entry in entries),
            )
            self.assertEqual(await asyncio.gather(*good), _answers())
            dead = sum(
                engine.process.returncode is not None for engine in engines
            )
            self.assertLessEqual(1 + dead, _CRASH_LIMIT)
            self._check_refusals([told for all in poisoned for told in all])
            await poll_until(lambda: _only_poison_is_suspect(path, entries))

    def _check_refusals(self, poisoned: list[_Told]) -> None:
        for told in poisoned:
            if told.outcome == 'not-run' and told.status == 503:
                self.assertGreater(int(told.retry_after), 0)


async def _start(
    path: LoopbackDeployment,
) -> tuple[list[Program], list[Program]]:
    flags = ('--crash-marker', 'BOOM', '--step-ms', '10')
    engines = await asyncio.gather(
        *(
            path.start_engine(f'engine-{one}', *flags)
            for one in range(_ENGINES)
        ),
    )
    started = await asyncio.gather(
        path.start_entry('entry'),
        path.start_entry('other'),
        *(
            path.start_agent(f'agent-{number}', engine)
            for number, engine in enumerate(engines)
        ),
    )
    entries = started[:2]
    await path.apply_fleet(*entries)
    return engines, entries


async def _report_first_death(
    path: LoopbackDeployment, entries: list[Program]
) -> None:
    prints = tuple(map(_fingerprint, (_POISON, *_INNOCENT)))
    report = CrashReport('agent-gone', 1, prints)
    peers = [path.control.addresses['grpc']]
    assert (await call_any(peers, REPORT_CRASH, report)).is_ok()

    async def known() -> bool:
        found = [await _suspects(path, entry) for entry in entries]
        return all(set(one) == set(prints) for one in found)

    await poll_until(known)


async def _until_quarantined(
    path: LoopbackDeployment, entry: Program
) -> list[_Told]:
    """Send the poison again and again; return all that was told."""
    told: list[_Told] = []
    async with asyncio.timeout(_PATIENCE_S):
        while not told or told[-1].status != 422:
            told.append(await _send(path, entry, _POISON))
            await asyncio.sleep(POLL_S)
    return told


async def _until_served(
    path: LoopbackDeployment, entry: Program, prompt: str
) -> str:
    """Send an innocent request until it is served; return its text."""
    told = await _send(path, entry, prompt)
    async with asyncio.timeout(_PATIENCE_S):
        while told.status != 200:
            await asyncio.sleep(POLL_S)
            told = await _send(path, entry, prompt)
    return told.text


async def _send(path: LoopbackDeployment, entry: Program, prompt: str) -> _Told:
    url = f'http://{entry.addresses["http"]}{_PATH}'
    try:
        async with path.session.post(url, data=_body(prompt)) as resp:
            answer = json.loads(await resp.read())
            texts = [one['text'] for one in answer.get('choices', ())]
            return _Told(
                resp.status,
                answer.get('outcome', ''),
                resp.headers.get('retry-after', '0'),
                ''.join(texts),
            )
    except ClientError:
        return _Told(0, 'unknown')


async def _only_poison_is_suspect(
    path: LoopbackDeployment, entries: list[Program]
) -> bool:
    found = [await _suspects(path, entry) for entry in entries]
    return all(set(one) == {_fingerprint(_POISON)} for one in found)


async def _suspects(
    path: LoopbackDeployment, entry: Program
) -> dict[str, float]:
    return (await path.fetch_dump(entry))['routing']['suspects']


def _answers() -> list[str]:
    return [
        ''.join(render_token(prompt, seq) for seq in range(_TOKENS))
        for prompt in _INNOCENT
    ]


def _body(prompt: str) -> bytes:
    return completion(prompt, _TOKENS, stream=False)


def _fingerprint(prompt: str) -> str:
    return fingerprint_of('demo', _PATH, _body(prompt))


if __name__ == '__main__':
    unittest.main()
