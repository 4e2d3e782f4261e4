"""The stand-ins must not hide faults of the daemons that tests run on them.

Other tests read from them how often a request ran, so that every execution must
be counted and a refused request must not run. Disconnects must cancel a
request, SIGTERM must let it finish, and the crash marker must end the process.
"""

from __future__ import annotations

import asyncio
import json
import unittest

from aiohttp import ClientError

from snipebend.standin.batcher import render_token
from tests.standin.processes import StandinProcess

#: More tokens than the engine generates during a test.
ENDLESS = 10**6


def body(prompt: str, max_tokens: int, *, stream: bool = True) -> dict:
    return {
        'model': 'standin',
        'prompt': prompt,
        'max_tokens': max_tokens,
        'stream': stream,
    }


async def read_answer(engine: StandinProcess, content: dict) -> str:
    async with engine.client.post('/v1/completions', json=content) as resp:
        return await resp.text()


def parse_chunks(text: str) -> list[tuple[int, str]]:
    """Check the format of a stream; return each chunk's number and text."""
    *events, done, rest = text.split('\n\n')
    assert (done, rest) == ('data: [DONE]', '')
    chunks = [json.loads(event.removeprefix('data: ')) for event in events]
    return [(chunk['seq'], chunk['choices'][0]['text']) for chunk in chunks]


class EngineProcessTest(unittest.IsolatedAsyncioTestCase):
    """The engine over TCP: responses, cancellation, stops and orders."""

    async def test_streamed_resumed_and_complete_responses_agree(self) -> None:
        expected = [(seq, render_token('hello', seq)) for seq in range(6)]
        async with StandinProcess('--step-ms', '1') as engine:
            for resume_from in (0, 4):
                headers = {
                    'x-request-id': 'r1',
                    'x-resume-from': str(resume_from),
                    'idempotency-key': 'k1',
                }
                async with engine.client.post(
                    '/v1/completions', json=body('hello', 6), headers=headers
                ) as resp:
                    chunks = parse_chunks(await resp.text())
                self.assertEqual(chunks, expected[resume_from:])
            async with engine.client.post(
                '/v1/completions', json=body('hello', 6, stream=False)
            ) as resp:
                answer = await resp.json()
            counts = await engine.fetch('/executions')
        text = ''.join(text for _, text in expected)
        self.assertEqual(answer['choices'][0]['text'], text)
        self.assertEqual(answer['usage']['completion_tokens'], 6)
        self.assertEqual(
            counts['by_request'], {'r1': 2, 'text_completion-1': 1}
        )
        self.assertEqual(counts['by_key'], {'k1': 2})
        self.assertEqual((counts['started'], counts['finished']), (3, 3))

    async def test_disconnect_and_delete_cancel_a_request(self) -> None:
        async with StandinProcess() as engine:
            for stream in (True, False):
                caller = asyncio.create_task(
                    read_answer(engine, body('left', ENDLESS, stream=stream))
                )
                await engine.wait_for_count('running', 1)
                caller.cancel()
                counts = await engine.wait_for_count('running', 0)
            self.assertEqual((counts['cancelled'], counts['finished']), (2, 0))
            caller = asyncio.create_task(
                read_answer(engine, body('deleted', ENDLESS))
            )
            await engine.wait_for_count('running', 1)
            async with engine.client.delete(
                '/v1/requests/text_completion-3'
            ) as resp:
                self.assertEqual(await resp.json(), {'cancelled': 1})
            text = await caller
            await engine.wait_for_count('cancelled', 3)
        self.assertIn('event: error', text)
        self.assertNotIn('[DONE]', text)

    async def test_sigterm_lets_an_open_stream_finish(self) -> None:
        async with StandinProcess('--step-ms', '20') as engine:
            async with engine.client.post(
                '/v1/completions', json=body('x', 100)
            ) as resp:
                engine.terminate()
                chunks = parse_chunks(await resp.text())
            self.assertEqual(len(chunks), 100)
            self.assertEqual(await engine.exit_code(), 0)

    async def test_crash_marker_kills_the_process(self) -> None:
        async with StandinProcess('--crash-marker', 'BOOM') as engine:
            with self.assertRaises(ClientError):
                await read_answer(engine, body('goes BOOM', 3))
            self.assertEqual(await engine.exit_code(), 70)

    async def test_refused_requests_execute_nothing(self) -> None:
        bad_bodies = (
            (b'no json', 400),
            (b'{"model": 3}', 400),
            (b'{"model": "other", "prompt": ""}', 404),
            (b'{"model": "standin", "max_tokens": 0}', 400),
        )
        order = {'kind': 'role', 'group': 'g', 'fence': 2, 'role': 'decode'}
        async with StandinProcess('--check-fence') as engine:
            for raw, status in bad_bodies:
                async with engine.client.post(
                    '/v1/chat/completions', data=raw
                ) as resp:
                    self.assertEqual(resp.status, status)
            for fence, status in ((2, 200), (1, 409)):
                async with engine.client.post(
                    '/orders', json={**order, 'fence': fence}
                ) as resp:
                    self.assertEqual(resp.status, status)
            self.assertEqual(await engine.fetch('/orders'), [order])
            counts = await engine.fetch('/executions')
        self.assertEqual(counts['started'], 0)


class ServiceProcessTest(unittest.IsolatedAsyncioTestCase):
    """The plain service as a process over TCP counts every execution."""

    async def test_counts_every_execution(self) -> None:
        async with StandinProcess('--service', '--delay-ms', '5') as service:
            for number in (1, 2):
                async with service.client.post(
                    '/confirmations',
                    data=b'{"hold":7}',
                    headers={'idempotency-key': 'k'},
                ) as resp:
                    booking = await resp.json()
                self.assertEqual(booking['number'], number)
            counts = await service.fetch('/executions')
            self.assertEqual((await service.fetch('/fares/a'))['id'], 'a')
        self.assertEqual(counts['by_key'], {'k': 2})
        self.assertEqual(counts['by_body'], {'{"hold":7}': 2})
