"""The entry's HTTP interface for callers."""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator, Mapping
from http import HTTPStatus
from typing import TYPE_CHECKING

import falcon
from result import Err, Ok, Result

from snipebend.delivery.actions import (
    AbortResponse,
    Refuse,
    RelayHead,
    SendStoredResponse,
)
from snipebend.delivery.outcomes import Outcome
from snipebend.kernel.service import Service
from snipebend.transport.asgi import (
    CONNECTION_KEY,
    MAX_BODY_BYTES,
    build_sink_app,
)
from snipebend.transport.caller_checks import (
    CheckedRequest,
    check_request,
    model_names,
)
from snipebend.transport.configuration_follower import ConfigurationFollower
from snipebend.transport.dispatch import Dispatcher
from snipebend.transport.events import MEDIA_EVENTS
from snipebend.transport.forward import end_to_end
from snipebend.transport.problems import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    IncompleteResponseError,
    Problem,
    encode_problem,
    write_problem,
)
from snipebend.transport.request_facts import KEY_HEADER, correlation_id
from snipebend.transport.request_record import RequestRecord

if TYPE_CHECKING:
    from falcon.asgi import Request, Response

    from snipebend.fleet.lookup import FleetIndex
    from snipebend.kernel.registry import Registry
    from snipebend.settings.model import EntrySettings
    from snipebend.transport.delivery_driver import Delivery
    from snipebend.transport.http_server import HttpServer

#: Status codes of responses without a body (RFC 9110, section 6.4.1).
_BODILESS_STATUSES = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))

#: Requests refused with these are malformed: they cannot have run before.
_NEVER_RUN_STATUSES = frozenset(
    (HTTPStatus.BAD_REQUEST, HTTPStatus.METHOD_NOT_ALLOWED),
)

_NO_CONFIGURATION = Problem(
    HTTPStatus.SERVICE_UNAVAILABLE,
    'No configuration',
    'no configuration is in force here yet',
    retry_after=1,
)
_STALE_CONFIGURATION = Problem(
    HTTPStatus.SERVICE_UNAVAILABLE,
    'Outdated configuration',
    'what is in force elsewhere may differ from what this entry knows',
    retry_after=1,
)
_LEAVING = Problem(
    HTTPStatus.SERVICE_UNAVAILABLE,
    'Leaving',
    'this entry takes no new work',
    retry_after=1,
)
_CALLER_DISCONNECTED = Problem(
    HTTPStatus.REQUEST_TIMEOUT,
    'Caller gone',
    'the connection closed before the answer began',
    Outcome.UNKNOWN,
)


class CallerApi(Service):
    """Accepts callers' requests and streams the responses back."""

    def __init__(
        self,
        name: str,
        cfg: EntrySettings,
        server: HttpServer,
    ) -> None:
        """Register the application with ``server``."""
        super().__init__(name)
        self._grace_s = cfg.listen.grace_s
        self._leaving = False
        server.serve(build_sink_app(self._serve, self._body_limit))

    async def start(self, registry: Registry) -> None:
        """Look up the configuration and the dispatcher."""
        self._clock = registry.clock
        self._dispatcher = registry.find('dispatch', Dispatcher)
        self._configuration = registry.find(
            'configuration',
            ConfigurationFollower,
        )

    async def drain(self) -> None:
        """Refuse new requests and wait for those in flight.

        New requests are still accepted during the grace period, in which the
        load balancer of the platform observes that this entry is not ready
        and stops sending requests.
        """
        await asyncio.sleep(self._grace_s)
        self._leaving = True
        await self._dispatcher.wait_idle()

    def dump(self) -> Mapping[str, object]:
        """Return whether new requests are refused."""
        return {'leaving': self._leaving}

    async def _serve(self, req: Request, resp: Response, **_: str) -> None:
        req_id = correlation_id(req)
        resp.set_header(REQUEST_ID_HEADER, req_id)
        match self._admit(req):
            case Ok((index, checked)) if checked.target is None:
                _list_models(resp, model_names(index, checked.workspace))
            case Ok((index, checked)):
                await self._deliver(req, resp, index, checked)
            case Err(problem):
                self._dispatcher.meters.record_refusal(problem.status)
                write_problem(resp, _with_key_outcome(req, problem))

    def _admit(
        self,
        req: Request,
    ) -> Result[tuple[FleetIndex, CheckedRequest], Problem]:
        index = self._configuration.index
        if self._leaving:
            return Err(_LEAVING)
        if index is None:
            return Err(_NO_CONFIGURATION)
        if self._refuses_stale(index):
            return Err(_STALE_CONFIGURATION)
        return check_request(index, req).map(lambda checked: (index, checked))

    def _refuses_stale(self, index: FleetIndex) -> bool:
        """Return whether an outdated configuration refuses requests."""
        if index.fleet.stale_policy == 'serve':
            return False
        return self._configuration.is_expired(self._clock.now())

    async def _deliver(
        self,
        req: Request,
        resp: Response,
        index: FleetIndex,
        checked: CheckedRequest,
    ) -> None:
        record, delivery = await self._dispatcher.open(req, index, checked)
        connection = req.scope[CONNECTION_KEY]
        # Also closes the delivery if the response fails before its body.
        close = self._dispatcher.close
        connection.on_response_end = lambda: close(record, delivery)
        match await delivery.begin(record.facts, connection):
            case RelayHead() as head:
                await self._relay(req, resp, head, record, delivery)
                return
            case SendStoredResponse() as stored:
                record.record_outcome(Outcome.RAN, stored.answer.status)
                _write_stored(resp, stored)
            case Refuse() as refusal:
                record.record_outcome(refusal.outcome, refusal.status)
                write_problem(resp, _to_problem(refusal))
            case None:
                record.record_outcome(
                    Outcome.UNKNOWN, _CALLER_DISCONNECTED.status
                )
                write_problem(resp, _CALLER_DISCONNECTED)

    async def _relay(
        self,
        req: Request,
        resp: Response,
        head: RelayHead,
        record: RequestRecord,
        delivery: Delivery,
    ) -> None:
        resp.status = falcon.code_to_http_status(head.status)
        for name, text in end_to_end(head.headers).items():
            resp.set_header(name, text)
        resp.set_header(REQUEST_ID_HEADER, correlation_id(req))
        record.record_status(head.status)
        streams = resp.content_type == MEDIA_EVENTS
        body = self._body(record, delivery, streams=streams)
        if req.method == 'HEAD' or head.status in _BODILESS_STATUSES:
            await _drain_body(body)
        else:
            resp.stream = body

    async def _body(
        self,
        record: RequestRecord,
        delivery: Delivery,
        *,
        streams: bool,
    ) -> AsyncIterator[bytes]:
        try:
            async for output in delivery.body():
                if isinstance(output, AbortResponse):
                    record.record_outcome(output.outcome)
                    problem = _abort_problem(output)
                    yield _error_event(problem) if streams else b''
                    raise IncompleteResponseError(problem)
                record.record_chunk()
                yield output
            record.record_outcome(Outcome.RAN)
        finally:
            self._dispatcher.close(record, delivery)

    def _body_limit(self) -> int:
        index = self._configuration.index
        limit = index.fleet.routing.max_body_bytes if index else 0
        return min(limit, MAX_BODY_BYTES)


async def _drain_body(body: AsyncIterator[bytes]) -> None:
    """Wait for the end of a response that has no body."""
    while await anext(body, None) is not None:
        await asyncio.sleep(0)


def _with_key_outcome(req: Request, problem: Problem) -> Problem:
    """Report the outcome as unknown if the idempotency key may have run.

    A malformed request cannot have run under any earlier configuration.
    """
    if problem.status in _NEVER_RUN_STATUSES or not req.get_header(KEY_HEADER):
        return problem
    return problem._replace(outcome=Outcome.UNKNOWN)


def _list_models(resp: Response, names: tuple[str, ...]) -> None:
    models = [{'id': name, 'object': 'model'} for name in names]
    resp.media = {'object': 'list', 'data': models}


def _write_stored(resp: Response, stored: SendStoredResponse) -> None:
    resp.status = falcon.code_to_http_status(stored.answer.status)
    resp.content_type = stored.answer.content_type
    resp.data = stored.answer.body
    resp.set_header(OUTCOME_HEADER, Outcome.RAN.value)
    resp.set_header('idempotent-replayed', 'true')


def _to_problem(refusal: Refuse) -> Problem:
    return Problem(
        refusal.status,
        refusal.title,
        refusal.detail,
        refusal.outcome,
        retry_after=math.ceil(refusal.retry_after),
    )


def _abort_problem(abort: AbortResponse) -> Problem:
    return Problem(
        HTTPStatus.BAD_GATEWAY,
        'Answer broken off',
        abort.reason,
        abort.outcome,
    )


def _error_event(problem: Problem) -> bytes:
    return b'event: error\ndata: %b\n\n' % encode_problem(problem)
