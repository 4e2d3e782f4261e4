"""The entry's HTTP interface for callers."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import AsyncIterator, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from http import HTTPStatus
from typing import TYPE_CHECKING, Any
from uuid import uuid4

from aiohttp import ClientError
from loguru import logger
from result import Err, Ok, Result

from snipebend.kernel.service import Service
from snipebend.membership.messages import Announcement, Phase
from snipebend.transport.asgi import BODY_KEY, GONE_KEY, build_sink_app
from snipebend.transport.directory_follower import DirectoryFollower
from snipebend.transport.followers import ConfigurationFollower
from snipebend.transport.forward import HttpClient, Outgoing, end_to_end
from snipebend.transport.problems import (
    ATTEMPT_HEADER,
    REQUEST_ID_HEADER,
    REVISION_HEADER,
    Outcome,
    Problem,
    write_problem,
)
from snipebend.transport.relay import relay_answer

if TYPE_CHECKING:
    from falcon.asgi import Request, Response

    from snipebend.fleet.lookup import FleetIndex
    from snipebend.kernel.registry import Registry
    from snipebend.transport.http_server import HttpServer

_BEARER = 'Bearer '
_MODEL_PATHS = frozenset(('/v1/completions', '/v1/chat/completions'))
_MODELS_PATH = '/v1/models'

_NO_CONFIGURATION = Problem(
    HTTPStatus.SERVICE_UNAVAILABLE,
    'No configuration',
    'no configuration is in force here yet',
    retry_after=1,
)
_NO_WORKSPACE = Problem(
    HTTPStatus.UNAUTHORIZED,
    'Unknown workspace',
    'the bearer token belongs to no workspace',
    field='authorization',
)
_NOT_JSON = Problem(
    HTTPStatus.BAD_REQUEST, 'Bad body', 'the body is not a JSON object'
)
_NO_PATH = Problem(
    HTTPStatus.NOT_FOUND, 'Unknown path', 'no service has this path'
)
_NO_UPSTREAM = Problem(
    HTTPStatus.SERVICE_UNAVAILABLE,
    'No upstream',
    'no upstream serves this right now',
    retry_after=1,
)
_LEAVING = Problem(
    HTTPStatus.SERVICE_UNAVAILABLE, 'Leaving', 'this entry takes no new work'
)
_BROKEN = Problem(
    HTTPStatus.BAD_GATEWAY,
    'Upstream lost',
    'the connection to the upstream broke before an answer came',
    Outcome.UNKNOWN,
)


class CallerApi(Service):
    """Takes callers' requests, chooses an upstream and streams the answer."""

    def __init__(self, name: str, server: HttpServer) -> None:
        """Serve on ``server``."""
        super().__init__(name)
        self._outstanding: Counter[str] = Counter()
        self._leaving = False
        self._idle = asyncio.Event()
        self._idle.set()
        server.serve(build_sink_app(self._serve))

    async def start(self, registry: Registry) -> None:
        """Find the client, the configuration and the directory."""
        self._client = registry.find('client', HttpClient)
        self._directory = registry.find('directory', DirectoryFollower)
        self._configuration = registry.find(
            'configuration',
            ConfigurationFollower,
        )

    async def drain(self) -> None:
        """Refuse new work and wait for what is in flight."""
        self._leaving = True
        await self._idle.wait()

    def dump(self) -> Mapping[str, object]:
        """Return what is outstanding on each upstream."""
        return {'outstanding': dict(+self._outstanding)}

    async def _serve(self, req: Request, resp: Response, **_: str) -> None:
        match self._choose(req):
            case Ok(None):
                self._list_models(resp)
            case Ok(upstream) if upstream is not None:
                await self._deliver(req, resp, upstream)
            case Err(problem):
                write_problem(resp, problem)

    def _choose(self, req: Request) -> Result[Announcement | None, Problem]:
        index = self._configuration.index
        if self._leaving:
            return Err(_LEAVING)
        if index is None:
            return Err(_NO_CONFIGURATION)
        key = (req.auth or '').removeprefix(_BEARER)
        if index.workspace_for_key(key) is None:
            return Err(_NO_WORKSPACE)
        if req.path == _MODELS_PATH:
            return Ok(None)
        policies = _policies_for(index, req)
        return policies.and_then(self._least_loaded)

    def _least_loaded(
        self,
        policies: frozenset[str],
    ) -> Result[Announcement | None, Problem]:
        candidates = [
            upstream
            for upstream in self._directory.upstreams()
            if upstream.policy in policies and upstream.phase is Phase.SERVING
        ]
        if not candidates:
            return Err(_NO_UPSTREAM)
        return Ok(min(candidates, key=self._load_of))

    def _load_of(self, upstream: Announcement) -> int:
        return self._outstanding[upstream.upstream]

    def _list_models(self, resp: Response) -> None:
        index = self._configuration.index
        names = _model_names(index) if index else ()
        resp.media = {
            'object': 'list',
            'data': [{'id': name, 'object': 'model'} for name in names],
        }

    async def _deliver(
        self,
        req: Request,
        resp: Response,
        upstream: Announcement,
    ) -> None:
        stack = AsyncExitStack()
        await stack.enter_async_context(self._count(upstream.upstream))
        try:
            await self._forward(req, resp, upstream, stack)
        except (ClientError, OSError) as exc:
            await stack.aclose()
            logger.warning(
                'event=attempt_failed peer={} reason={!r}',
                upstream.upstream,
                exc,
            )
            write_problem(resp, _BROKEN)

    async def _forward(
        self,
        req: Request,
        resp: Response,
        upstream: Announcement,
        stack: AsyncExitStack,
    ) -> None:
        headers = end_to_end(req.headers)
        headers.setdefault(REQUEST_ID_HEADER, uuid4().hex)
        headers[ATTEMPT_HEADER] = '1'
        headers[REVISION_HEADER] = str(self._configuration.revision)
        outgoing = Outgoing(
            req.method,
            f'http://{upstream.http_address}{req.relative_uri}',
            headers,
            req.scope[BODY_KEY],
        )
        answer = await stack.enter_async_context(
            self._client.send(outgoing, req.scope[GONE_KEY]),
        )
        relay_answer(resp, answer, stack)

    @asynccontextmanager
    async def _count(self, upstream: str) -> AsyncIterator[None]:
        self._outstanding[upstream] += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._outstanding[upstream] -= 1
            if not self._outstanding.total():
                self._idle.set()


def _policies_for(
    index: FleetIndex,
    req: Request,
) -> Result[frozenset[str], Problem]:
    if req.path in _MODEL_PATHS:
        return _policies_for_model(index, req.scope[BODY_KEY])
    service = index.service_for_path(req.path)
    if service is None:
        return Err(_NO_PATH)
    return Ok(frozenset((service.upstream,)))


def _policies_for_model(
    index: FleetIndex,
    body: bytes,
) -> Result[frozenset[str], Problem]:
    try:
        document: Any = json.loads(body)
    except ValueError:
        return Err(_NOT_JSON)
    if not isinstance(document, dict):
        return Err(_NOT_JSON)
    model = document.get('model')
    policies = index.upstreams_for_model(str(model))
    if policies:
        return Ok(frozenset(policy.name for policy in policies))
    detail = f'no group serves the model {model!r}'
    return Err(
        Problem(HTTPStatus.NOT_FOUND, 'Unknown model', detail, field='model')
    )


def _model_names(index: FleetIndex) -> tuple[str, ...]:
    names = {group.model for group in index.fleet.groups}
    return tuple(sorted(names))
