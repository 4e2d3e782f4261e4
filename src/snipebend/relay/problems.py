"""Error responses that an entry generates itself."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

from snipebend.delivery.outcomes import Outcome
from snipebend.hashing.part_keys import is_part_key

if TYPE_CHECKING:
    from snipebend.relay.crash_table import Quarantine


class Refusal(NamedTuple):
    """An error response; a ``retry_after_s`` of 0 states no retry time."""

    status: HTTPStatus
    title: str
    detail: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_s: float = 0


def no_document(retry_after_s: float) -> Refusal:
    """Return the refusal of an entry that has not received a document yet."""
    return Refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'Starting',
        'no document is known here yet',
        retry_after_s=retry_after_s,
    )


def malformed() -> Refusal:
    """Return the refusal of a request whose head can't be parsed."""
    return Refusal(
        HTTPStatus.BAD_REQUEST, 'Malformed', 'a header can not be read'
    )


def no_route() -> Refusal:
    """Return the refusal of a host and path without a route."""
    return Refusal(
        HTTPStatus.NOT_FOUND, 'No route', 'no route has this host and path'
    )


def unknown_key() -> Refusal:
    """Return the refusal of a key that belongs to no workspace."""
    return Refusal(
        HTTPStatus.UNAUTHORIZED, 'Unknown key', 'no workspace has this key'
    )


def busy(retry_after_s: float, detail: str) -> Refusal:
    """Return the refusal of a request that did not run for lack of capacity."""
    return Refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'Busy',
        detail,
        retry_after_s=retry_after_s,
    )


def quarantined(quarantine: Quarantine) -> Refusal:
    """Return the refusal of a request, or of a part of its prompt.

    Callers without agents read 503 as a promise that the request did not run;
    other statuses of refusals promise nothing there.
    """
    return Refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'Quarantined',
        (
            'upstreams have ended under requests with a part of this prompt'
            if is_part_key(quarantine.key)
            else 'upstreams have ended under this request'
        ),
        retry_after_s=quarantine.left_s,
    )


def upstream_lost(detail: str) -> Refusal:
    """Return the error for a broken call that may have run."""
    return Refusal(
        HTTPStatus.BAD_GATEWAY, 'Upstream lost', detail, Outcome.UNKNOWN
    )


def deadline_exceeded(outcome: Outcome) -> Refusal:
    """Return the error for a request whose deadline has expired."""
    return Refusal(
        HTTPStatus.GATEWAY_TIMEOUT,
        'Too late',
        'no whole answer came in time',
        outcome,
    )
