"""Invalid requests over a socket are refused with a problem document.

Guards against an entry that accepts such a request, crashes, or reports the
wrong status, field or outcome. The requests have a body that is too large or
not a JSON object, fields that are missing, of a wrong type or out of range, an
unknown or forbidden model, invalid credentials, or a wrong method or path.
"""

from __future__ import annotations

import asyncio
import json
import unittest
from typing import Any, NamedTuple

from aiohttp import ClientSession

from snipebend.console.connection import call_any
from snipebend.console.demo import DemoCluster, running_cluster
from snipebend.console.demo_fleet import API_KEY, FLEET, MODEL
from snipebend.state.messages import ApplyRequest
from snipebend.transport.methods import APPLY

_LIMIT = 4096
_RESTRICTED = """
[[workspaces]]
name = "tight"
api_key = "tight-key"
priority = "normal"
rate_per_s = 100.0
burst = 100
max_concurrency = 100
weight = 1
models = ["other"]

[[upstreams]]
name = "others"
kind = "engine"
model = "other"
fencing = "checked"
max_concurrency = 8
slow_start_s = 1.0
ejection_failures = 5
ejection_s = 5.0
"""
_FILE = f'{FLEET}{_RESTRICTED}\n[routing]\nmax_body_bytes = {_LIMIT}\n'
_TEXT = '/v1/completions'
_CHAT = '/v1/chat/completions'


class Case(NamedTuple):
    """One invalid request and the expected problem."""

    status: int
    field: str
    body: Any
    path: str = _TEXT
    method: str = 'POST'
    key: str = f'Bearer {API_KEY}'

    @property
    def raw(self) -> bytes:
        """Return the encoded body."""
        if isinstance(self.body, bytes):
            return self.body
        return json.dumps(self.body).encode()


def build_body(**changes: Any) -> dict[str, Any]:
    """Return a valid body with the given changes."""
    return {'model': MODEL, 'prompt': 'x', 'max_tokens': 2, **changes}


CASES = (
    Case(400, '', b'not json'),
    Case(400, '', b'\xff\xfe'),
    Case(400, '', b''),
    Case(400, '', [1, 2]),
    Case(400, 'model', {'prompt': 'x'}),
    Case(400, 'model', build_body(model=7)),
    Case(404, 'model', build_body(model='nobody')),
    Case(403, 'model', build_body(), key='Bearer tight-key'),
    Case(400, 'prompt', {'model': MODEL}),
    Case(400, 'prompt', build_body(prompt={'a': 1})),
    Case(400, 'max_tokens', build_body(max_tokens='2')),
    Case(400, 'max_tokens', build_body(max_tokens=0)),
    Case(400, 'max_tokens', build_body(max_tokens=1.5)),
    Case(400, 'stream', build_body(stream='yes')),
    Case(400, 'messages', build_body(), path=_CHAT),
    Case(400, 'messages', build_body(messages='hello'), path=_CHAT),
    Case(400, 'messages[0]', build_body(messages=['hello']), path=_CHAT),
    Case(413, 'body', build_body(prompt='x' * _LIMIT)),
    Case(401, 'authorization', build_body(), key='Bearer nobody'),
    Case(401, 'authorization', build_body(), key='Basic ZGVtbzo='),
    Case(401, 'authorization', build_body(), key=''),
    Case(405, 'method', build_body(), method='GET'),
    Case(405, 'method', b'', path='/v1/models'),
    Case(404, 'path', b'', path='/nowhere', method='GET'),
    Case(405, 'method', build_body(), method='MKCOL'),
)


class CallerChecksTest(unittest.IsolatedAsyncioTestCase):
    """Every invalid request is refused without being run."""

    async def test_wrong_requests(self) -> None:
        async with running_cluster() as cluster:
            await _apply(cluster)
            async with ClientSession(f'http://{cluster.entry}') as session:
                await _until_configured(session)
                await self._check_all(session)

    async def _check_all(self, session: ClientSession) -> None:
        for case in CASES:
            with self.subTest(case=case):
                await self._check(session, case)

    async def _check(self, session: ClientSession, case: Case) -> None:
        async with session.request(
            case.method,
            case.path,
            data=case.raw,
            headers={'authorization': case.key, 'x-request-id': 'mine'},
        ) as resp:
            self.assertEqual(resp.status, case.status)
            self.assertEqual(resp.content_type, 'application/problem+json')
            self.assertEqual(resp.headers['x-snipebend-outcome'], 'not-run')
            self.assertEqual(resp.headers['x-request-id'], 'mine')
            problem = json.loads(await resp.read())
        self.assertEqual(problem['status'], case.status)
        self.assertEqual(problem.get('field', ''), case.field)
        self.assertEqual(problem['outcome'], 'not-run')


async def _apply(cluster: DemoCluster) -> None:
    req = ApplyRequest('checks', 0, _FILE)
    applied = await call_any([cluster.control], APPLY, req)
    assert applied.unwrap().revision == 1, applied


async def _until_configured(session: ClientSession) -> None:
    status = 503
    while status == 503:
        async with session.get('/v1/models') as resp:
            status = resp.status
        await asyncio.sleep(0.01)


if __name__ == '__main__':
    unittest.main()
