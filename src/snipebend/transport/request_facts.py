"""What an entry makes of a checked request before it is delivered."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING
from uuid import uuid4

from xxhash import xxh3_128_hexdigest

from snipebend.delivery.facts import RequestFacts
from snipebend.routing.messages import ModelTarget, RoutingRequest
from snipebend.routing.prefix_index import hash_chain
from snipebend.routing.quarantine import fingerprint_of
from snipebend.transport.asgi import BODY_KEY
from snipebend.transport.forward import Outgoing, end_to_end
from snipebend.transport.problems import FINGERPRINT_HEADER, REQUEST_ID_HEADER

if TYPE_CHECKING:
    from falcon.asgi import Request

    from snipebend.fleet.lookup import FleetIndex
    from snipebend.transport.caller_checks import Wanted

KEY_HEADER = 'idempotency-key'

_CORRELATION_ID = re.compile(r'[!-~]{1,128}')
_FINGERPRINT_KEY = 'snipebend.fingerprint'
_CORRELATION_KEY = 'snipebend.request-id'


def correlation_id(req: Request) -> str:
    """Return the caller's own id of the request, or one made for it."""
    known: str = req.scope.get(_CORRELATION_KEY, '')
    if not known:
        given = req.get_header(REQUEST_ID_HEADER) or ''
        usable = _CORRELATION_ID.fullmatch(given)
        known = given if usable else uuid4().hex
        req.scope[_CORRELATION_KEY] = known
    return known


def gather_facts(
    req: Request,
    wanted: Wanted,
    deadline_at: float,
) -> RequestFacts:
    """Return what the delivery needs to know; the id is a new one."""
    body = wanted.completion
    streaming = bool(body and body.stream)
    return RequestFacts(
        request_id=uuid4().hex,
        workspace=wanted.workspace.name,
        key=req.get_header(KEY_HEADER) or '',
        fingerprint=_fingerprint(req),
        repeatable=wanted.repeatable,
        streaming=streaming,
        resumable=streaming,
        deadline_at=deadline_at,
    )


def forwarded(req: Request, wanted: Wanted) -> Outgoing:
    """Return the request as it goes on, without a peer yet."""
    headers = end_to_end(req.headers)
    headers[REQUEST_ID_HEADER] = correlation_id(req)
    headers[FINGERPRINT_HEADER] = crash_fingerprint(req, wanted)
    return Outgoing(
        req.method,
        '',
        req.relative_uri,
        headers,
        req.scope[BODY_KEY],
    )


def crash_fingerprint(req: Request, wanted: Wanted) -> str:
    """Return the fingerprint under which upstreams' deaths are counted."""
    known: str = req.scope.get(_FINGERPRINT_KEY, '')
    if not known:
        body = req.scope[BODY_KEY]
        known = fingerprint_of(wanted.workspace.name, req.path, body)
        req.scope[_FINGERPRINT_KEY] = known
    return known


def routing_request(
    index: FleetIndex,
    req: Request,
    wanted: Wanted,
    deadline_at: float,
) -> RoutingRequest:
    """Return what routing needs to know; the deadline is on its clock."""
    workspace = wanted.workspace
    target = wanted.target or ModelTarget('')
    body = wanted.completion
    return RoutingRequest(
        workspace.name,
        index.priority_of(workspace).name,
        target,
        deadline_at,
        crash_fingerprint(req, wanted),
        hash_chain(body.text) if body else (),
    )


def _fingerprint(req: Request) -> str:
    head = f'{req.method} {req.relative_uri}\n'.encode()
    return xxh3_128_hexdigest(head + req.scope[BODY_KEY])
