"""Refusals and errors towards callers: ``application/problem+json``.

Every one of them tells what became of the request: ``not-run``, ``ran`` or
``unknown`` (RFC 9457 gives the format, the ``outcome`` member is ours).
"""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any, NamedTuple

import falcon
from msgspec import json

from snipebend.delivery.outcomes import Outcome

if TYPE_CHECKING:
    from falcon.asgi import Request, Response

MEDIA_PROBLEM = 'application/problem+json'
OUTCOME_HEADER = 'x-snipebend-outcome'
REVISION_HEADER = 'x-snipebend-revision'
REQUEST_ID_HEADER = 'x-request-id'
ATTEMPT_HEADER = 'x-attempt'
#: An attempt's ticket, as JSON, between entry and agent only.
TICKET_HEADER = 'x-snipebend-ticket'

#: What makes a resend the same request, between entry and agent only.
FINGERPRINT_HEADER = 'x-snipebend-fingerprint'

#: Headers between our own processes, which a caller can't set.
INTERNAL_HEADERS = frozenset(
    (TICKET_HEADER, FINGERPRINT_HEADER, REVISION_HEADER, OUTCOME_HEADER)
)


class Problem(NamedTuple):
    """One refusal; ``retry_after`` is in seconds, 0 where it can't help."""

    status: int
    title: str
    detail: str
    outcome: Outcome = Outcome.NOT_RUN
    field: str = ''
    retry_after: int = 0


def encode_problem(problem: Problem) -> bytes:
    """Return the document of a refusal."""
    body: dict[str, object] = {
        'title': problem.title,
        'status': problem.status,
        'detail': problem.detail,
        'outcome': problem.outcome.value,
    }
    if problem.field:
        body['field'] = problem.field
    return json.encode(body)


def write_problem(resp: Response, problem: Problem) -> None:
    """Turn a response into the refusal."""
    resp.status = falcon.code_to_http_status(problem.status)
    resp.data = encode_problem(problem)
    resp.content_type = MEDIA_PROBLEM
    resp.set_header(OUTCOME_HEADER, problem.outcome.value)
    if problem.retry_after:
        resp.set_header('retry-after', str(problem.retry_after))


def serialize_http_error(
    req: Request,
    resp: Response,
    exc: falcon.HTTPError,
) -> None:
    """Write ``falcon``'s own refusals, which come before anything ran."""
    detail = exc.description or exc.title or ''
    problem = Problem(exc.status_code, exc.title or 'Refused', detail)
    write_problem(resp, problem)


async def handle_failure(
    req: Request,
    resp: Response,
    exc: Exception,
    _: dict[str, Any],
) -> None:
    """Answer a fault of our own; nobody can tell how far it got."""
    write_problem(
        resp,
        Problem(
            HTTPStatus.INTERNAL_SERVER_ERROR,
            'Internal error',
            type(exc).__name__,
            Outcome.UNKNOWN,
        ),
    )
