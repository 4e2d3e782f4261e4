"""One poison request must not crash several upstreams at the same time.

Two entries send the request concurrently. If each of them tried it on another
upstream, every attempt would crash one before the crashes are counted.
"""

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
#: The default in the fleet file.
_CRASH_LIMIT = 2
_TOKENS = 10
_TIMEOUT_S = 12.0
_PATH = '/v1/completions'
_POISON = 'goes BOOM'
_HARMLESS = tuple(f'good {number}' for number in range(6))


class _Response(NamedTuple):
    status: int
    outcome: str
    retry_after: str = '0'
    text: str = ''


class SuspectsAloneTest(unittest.IsolatedAsyncioTestCase):
    """An upstream crashed while running the poison request and others.

    All of them are suspects then. The entries together run one suspect at a
    time, so that the poison request crashes only one more upstream.
    """

    async def test_entries_together_risk_one_upstream_at_a_time(self) -> None:
        async with LoopbackDeployment() as path:
            engines, entries = await _start(path)
            await _report_first_death(path, entries)
            harmless = [
                asyncio.create_task(
                    _until_served(path, entries[number % 2], prompt)
                )
                for number, prompt in enumerate(_HARMLESS)
            ]
            poisoned = await asyncio.gather(
                *(_until_quarantined(path, entry) for entry in entries),
            )
            self.assertEqual(await asyncio.gather(*harmless), _expected_texts())
            dead = sum(
                engine.process.returncode is not None for engine in engines
            )
            self.assertLessEqual(1 + dead, _CRASH_LIMIT)
            self._check_refusals(
                [response for entry in poisoned for response in entry]
            )
            await poll_until(lambda: _only_poison_is_suspect(path, entries))

    def _check_refusals(self, poisoned: list[_Response]) -> None:
        for response in poisoned:
            if response.outcome == 'not-run' and response.status == 503:
                self.assertGreater(int(response.retry_after), 0)


async def _start(
    path: LoopbackDeployment,
) -> tuple[list[Program], list[Program]]:
    flags = ('--crash-marker', 'BOOM', '--step-ms', '10')
    engines = await asyncio.gather(
        *(
            path.start_engine(f'engine-{number}', *flags)
            for number in range(_ENGINES)
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
    fingerprints = tuple(map(_fingerprint, (_POISON, *_HARMLESS)))
    report = CrashReport('agent-gone', 1, fingerprints)
    peers = [path.control.addresses['grpc']]
    assert (await call_any(peers, REPORT_CRASH, report)).is_ok()

    async def known() -> bool:
        found = [await _suspects(path, entry) for entry in entries]
        return all(set(suspects) == set(fingerprints) for suspects in found)

    await poll_until(known)


async def _until_quarantined(
    path: LoopbackDeployment, entry: Program
) -> list[_Response]:
    """Send the poison request until it is quarantined; return all responses."""
    responses: list[_Response] = []
    async with asyncio.timeout(_TIMEOUT_S):
        while not responses or responses[-1].status != 422:
            responses.append(await _send(path, entry, _POISON))
            await asyncio.sleep(POLL_S)
    return responses


async def _until_served(
    path: LoopbackDeployment, entry: Program, prompt: str
) -> str:
    """Send a harmless request until it is served; return its text."""
    response = await _send(path, entry, prompt)
    async with asyncio.timeout(_TIMEOUT_S):
        while response.status != 200:
            await asyncio.sleep(POLL_S)
            response = await _send(path, entry, prompt)
    return response.text


async def _send(
    path: LoopbackDeployment, entry: Program, prompt: str
) -> _Response:
    url = f'http://{entry.addresses["http"]}{_PATH}'
    try:
        async with path.session.post(url, data=_body(prompt)) as resp:
            answer = json.loads(await resp.read())
            texts = [choice['text'] for choice in answer.get('choices', ())]
            return _Response(
                resp.status,
                answer.get('outcome', ''),
                resp.headers.get('retry-after', '0'),
                ''.join(texts),
            )
    except ClientError:
        return _Response(0, 'unknown')


async def _only_poison_is_suspect(
    path: LoopbackDeployment, entries: list[Program]
) -> bool:
    found = [await _suspects(path, entry) for entry in entries]
    return all(set(suspects) == {_fingerprint(_POISON)} for suspects in found)


async def _suspects(
    path: LoopbackDeployment, entry: Program
) -> dict[str, float]:
    return (await path.fetch_dump(entry))['routing']['suspects']


def _expected_texts() -> list[str]:
    return [
        ''.join(render_token(prompt, seq) for seq in range(_TOKENS))
        for prompt in _HARMLESS
    ]


def _body(prompt: str) -> bytes:
    return completion(prompt, _TOKENS, stream=False)


def _fingerprint(prompt: str) -> str:
    return fingerprint_of('demo', _PATH, _body(prompt))


if __name__ == '__main__':
    unittest.main()
