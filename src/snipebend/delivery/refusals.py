"""The refusals that a caller can receive."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from snipebend.delivery.actions import Refuse
from snipebend.delivery.messages import RefusalReason
from snipebend.delivery.outcomes import Outcome

if TYPE_CHECKING:
    from snipebend.delivery.attempt_events import AttemptRefused
    from snipebend.delivery.events import NoUpstream

#: Seconds after which a resend may find the response of a running call.
IN_PROGRESS_RETRY_S = 1.0


def no_upstream(event: NoUpstream) -> Refuse:
    """No upstream can take the request."""
    return Refuse(
        event.status,
        Outcome.NOT_RUN,
        'No upstream',
        event.detail,
        event.retry_after,
    )


def attempt_refused(event: AttemptRefused) -> Refuse:
    """The agent did not start the attempt."""
    is_late = event.reason is RefusalReason.DEADLINE_PASSED
    return Refuse(
        HTTPStatus.GATEWAY_TIMEOUT
        if is_late
        else HTTPStatus.SERVICE_UNAVAILABLE,
        Outcome.NOT_RUN,
        'Not started',
        f'the upstream did not take the request: {event.reason.value}',
        event.retry_after,
    )


def attempt_broken(outcome: Outcome) -> Refuse:
    """The attempt failed before a complete response arrived."""
    return Refuse(
        HTTPStatus.BAD_GATEWAY,
        outcome,
        'Upstream lost',
        'the attempt broke off before a whole answer came',
    )


def in_progress() -> Refuse:
    """The request is running; its response is stored for resends of the key."""
    return Refuse(
        HTTPStatus.CONFLICT,
        Outcome.UNKNOWN,
        'In progress',
        'an earlier attempt of this request has not ended',
        IN_PROGRESS_RETRY_S,
    )


def ran() -> Refuse:
    """The request ran, but its response is not stored."""
    return Refuse(
        HTTPStatus.CONFLICT,
        Outcome.RAN,
        'Already ran',
        'the request ran once; its answer is not kept',
    )


def unknown() -> Refuse:
    """Whether the request ran is unknown; it will not run again."""
    return Refuse(
        HTTPStatus.CONFLICT,
        Outcome.UNKNOWN,
        'Outcome unknown',
        'nobody can tell whether the request ran; it will not run again',
    )


def key_mismatch() -> Refuse:
    """The idempotency key was used with another request."""
    return Refuse(
        HTTPStatus.UNPROCESSABLE_ENTITY,
        Outcome.NOT_RUN,
        'Key used before',
        'the idempotency key was used before with another request',
    )


def claim_failed(retry_after: float) -> Refuse:
    """The key cannot be looked up, so an earlier request may have run."""
    return Refuse(
        HTTPStatus.SERVICE_UNAVAILABLE,
        Outcome.UNKNOWN,
        'Key unavailable',
        'the idempotency key could not be looked up',
        retry_after,
    )


def deadline_reached() -> Refuse:
    """The request's deadline has passed."""
    return Refuse(
        HTTPStatus.GATEWAY_TIMEOUT,
        Outcome.NOT_RUN,
        'Deadline reached',
        'the request was not answered before its deadline',
    )
