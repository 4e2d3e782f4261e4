"""Derives the inputs of delivery and routing from a checked request."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING
from uuid import uuid4

from xxhash import xxh3_128_hexdigest

from snipebend.delivery.facts import RequestFacts
from snipebend.hashing.part_keys import make_part_keys
from snipebend.routing.messages import ModelTarget, RoutingRequest
from snipebend.routing.prefix_index import hash_chain
from snipebend.routing.quarantine import fingerprint_of
from snipebend.transport.asgi import BODY_KEY
from snipebend.transport.forward import OutgoingRequest, end_to_end
from snipebend.transport.problems import (
    FINGERPRINT_HEADER,
    PARTS_HEADER,
    REQUEST_ID_HEADER,
)

if TYPE_CHECKING:
    from falcon.asgi import Request

    from snipebend.fleet.lookup import FleetIndex
    from snipebend.transport.caller_checks import CheckedRequest

KEY_HEADER = 'idempotency-key'

_CORRELATION_ID = re.compile(r'[!-~]{1,128}')
_FINGERPRINT_KEY = 'snipebend.fingerprint'
_CORRELATION_KEY = 'snipebend.request-id'


def correlation_id(req: Request) -> str:
    """Return the request id given by the caller, or a generated one."""
    known: str = req.scope.get(_CORRELATION_KEY, '')
    if not known:
        given = req.get_header(REQUEST_ID_HEADER) or ''
        usable = _CORRELATION_ID.fullmatch(given)
        known = given if usable else uuid4().hex
        req.scope[_CORRELATION_KEY] = known
    return known


def gather_facts(
    req: Request,
    checked: CheckedRequest,
    deadline_at: float,
) -> RequestFacts:
    """Return the facts for the delivery, with a new request id."""
    body = checked.completion
    streaming = bool(body and body.stream)
    return RequestFacts(
        request_id=uuid4().hex,
        workspace=checked.workspace.name,
        key=req.get_header(KEY_HEADER) or '',
        fingerprint=_fingerprint(req),
        repeatable=checked.repeatable,
        streaming=streaming,
        resumable=streaming,
        deadline_at=deadline_at,
    )


def build_forwarded_request(
    req: Request, checked: CheckedRequest
) -> OutgoingRequest:
    """Return the request to forward; its peer is not set."""
    headers = end_to_end(req.headers)
    headers[REQUEST_ID_HEADER] = correlation_id(req)
    headers[FINGERPRINT_HEADER] = crash_fingerprint(req, checked)
    part_keys = find_part_keys(checked)
    if part_keys:
        headers[PARTS_HEADER] = ','.join(part_keys)
    return OutgoingRequest(
        req.method,
        '',
        req.relative_uri,
        headers,
        req.scope[BODY_KEY],
    )


def crash_fingerprint(req: Request, checked: CheckedRequest) -> str:
    """Return the fingerprint for counting the deaths of upstreams."""
    known: str = req.scope.get(_FINGERPRINT_KEY, '')
    if not known:
        body = req.scope[BODY_KEY]
        known = fingerprint_of(checked.workspace.name, req.path, body)
        req.scope[_FINGERPRINT_KEY] = known
    return known


def find_part_keys(checked: CheckedRequest) -> tuple[str, ...]:
    """Return the keys of what other prompts may share with this one."""
    body = checked.completion
    return make_part_keys(body.parts) if body else ()


def build_routing_request(
    index: FleetIndex,
    req: Request,
    checked: CheckedRequest,
    deadline_at: float,
) -> RoutingRequest:
    """Return the request for routing; the deadline is on its clock."""
    workspace = checked.workspace
    target = checked.target or ModelTarget('')
    body = checked.completion
    return RoutingRequest(
        workspace.name,
        index.priority_of(workspace).name,
        target,
        deadline_at,
        crash_fingerprint(req, checked),
        hash_chain(body.text) if body else (),
        find_part_keys(checked),
    )


def _fingerprint(req: Request) -> str:
    head = f'{req.method} {req.relative_uri}\n'.encode()
    return xxh3_128_hexdigest(head + req.scope[BODY_KEY])
