"""The answers that an entry gives of its own."""

from __future__ import annotations

from http import HTTPStatus
from typing import NamedTuple

from snipebend.delivery.outcomes import Outcome


class Refusal(NamedTuple):
    """An own answer; ``wait_s`` is when to come back, 0: not told."""

    status: HTTPStatus
    title: str
    detail: str
    outcome: Outcome = Outcome.NOT_RUN
    wait_s: float = 0


def no_document(wait_s: float) -> Refusal:
    """Nobody told this entry yet what to serve."""
    return Refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'Starting',
        'no document is known here yet',
        wait_s=wait_s,
    )


def malformed() -> Refusal:
    """The request's head makes no sense."""
    return Refusal(
        HTTPStatus.BAD_REQUEST, 'Malformed', 'a header can not be read'
    )


def no_route() -> Refusal:
    """No route has this host and path."""
    return Refusal(
        HTTPStatus.NOT_FOUND, 'No route', 'no route has this host and path'
    )


def unknown_key() -> Refusal:
    """The key belongs to no workspace."""
    return Refusal(
        HTTPStatus.UNAUTHORIZED, 'Unknown key', 'no workspace has this key'
    )


def busy(wait_s: float, detail: str) -> Refusal:
    """Nobody can take it now, and nobody has run it."""
    return Refusal(
        HTTPStatus.SERVICE_UNAVAILABLE, 'Busy', detail, wait_s=wait_s
    )


def lost(detail: str) -> Refusal:
    """A call broke, and nobody knows whether it ran."""
    return Refusal(
        HTTPStatus.BAD_GATEWAY, 'Upstream lost', detail, Outcome.UNKNOWN
    )


def too_late(outcome: Outcome) -> Refusal:
    """The time is over."""
    return Refusal(
        HTTPStatus.GATEWAY_TIMEOUT,
        'Too late',
        'no whole answer came in time',
        outcome,
    )
