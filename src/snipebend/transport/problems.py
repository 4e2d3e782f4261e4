"""Builds error responses to callers as ``application/problem+json``.

Each one contains the outcome of the request: ``not-run``, ``ran`` or
``unknown``. RFC 9457 defines the format; ``outcome`` is an extension member.
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
#: The ticket of an attempt as JSON, used only between entry and agent.
TICKET_HEADER = 'x-snipebend-ticket'

#: Identifies requests with the same content; used only between entry and agent.
FINGERPRINT_HEADER = 'x-snipebend-fingerprint'
PARTS_HEADER = 'x-snipebend-prompt-parts'

#: Headers used between Snipebend processes; removed from callers' requests.
INTERNAL_HEADERS = frozenset(
    (
        TICKET_HEADER,
        FINGERPRINT_HEADER,
        PARTS_HEADER,
        REVISION_HEADER,
        OUTCOME_HEADER,
    )
)


class Problem(NamedTuple):
    """One error; ``retry_after`` is in seconds, 0 if a retry cannot help."""

    status: int
    title: str
    detail: str
    outcome: Outcome = Outcome.NOT_RUN
    field: str = ''
    retry_after: int = 0


class IncompleteResponseError(Exception):
    """The response cannot be completed; its connection must be aborted."""

    def __init__(self, problem: Problem) -> None:
        """Keep the error for a caller that has received nothing yet."""
        super().__init__(problem.detail)
        self.problem = problem


def encode_problem(problem: Problem) -> bytes:
    """Return the problem as JSON."""
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
    """Write the problem to a response."""
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
    """Write the errors that ``falcon`` raises before the request runs."""
    detail = exc.description or exc.title or ''
    problem = Problem(exc.status_code, exc.title or 'Refused', detail)
    write_problem(resp, problem)


async def handle_failure(
    req: Request,
    resp: Response,
    exc: Exception,
    _: dict[str, Any],
) -> None:
    """Respond to an internal error; the outcome is unknown."""
    write_problem(
        resp,
        Problem(
            HTTPStatus.INTERNAL_SERVER_ERROR,
            'Internal error',
            type(exc).__name__,
            Outcome.UNKNOWN,
        ),
    )
