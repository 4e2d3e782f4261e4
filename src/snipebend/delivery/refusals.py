"""The refusals and problems that a caller can be given."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from snipebend.delivery.actions import Refuse
from snipebend.delivery.messages import RefusalReason
from snipebend.delivery.outcomes import Outcome

if TYPE_CHECKING:
    from snipebend.delivery.attempt_events import AttemptRefused
    from snipebend.delivery.events import NoUpstream

#: Seconds after which a resend may find the answer of a call that runs.
IN_PROGRESS_RETRY_S = 1.0


def no_upstream(event: NoUpstream) -> Refuse:
    """Nobody can take the request."""
    return Refuse(
        event.status,
        Outcome.NOT_RUN,
        'No upstream',
        event.detail,
        event.retry_after,
    )


def attempt_refused(event: AttemptRefused) -> Refuse:
    """The agent didn't start the attempt."""
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


def attempt_lost(outcome: Outcome) -> Refuse:
    """The attempt broke before an answer came."""
    return Refuse(
        HTTPStatus.BAD_GATEWAY,
        outcome,
        'Upstream lost',
        'the attempt broke off before a whole answer came',
    )


def in_progress() -> Refuse:
    """The request runs; its answer will be kept for a resend of the key."""
    return Refuse(
        HTTPStatus.CONFLICT,
        Outcome.UNKNOWN,
        'In progress',
        'an earlier attempt of this request has not ended',
        IN_PROGRESS_RETRY_S,
    )


def ran() -> Refuse:
    """The request ran, but its answer isn't kept."""
    return Refuse(
        HTTPStatus.CONFLICT,
        Outcome.RAN,
        'Already ran',
        'the request ran once; its answer is not kept',
    )


def unknown() -> Refuse:
    """Nobody can tell whether the request ran; it won't run again."""
    return Refuse(
        HTTPStatus.CONFLICT,
        Outcome.UNKNOWN,
        'Outcome unknown',
        'nobody can tell whether the request ran; it will not run again',
    )


def key_mismatch() -> Refuse:
    """The key belongs to another request."""
    return Refuse(
        HTTPStatus.UNPROCESSABLE_ENTITY,
        Outcome.NOT_RUN,
        'Key used before',
        'the idempotency key was used before with another request',
    )


def claim_failed(retry_after: float) -> Refuse:
    """The key can't be looked up, so an earlier sending may have run."""
    return Refuse(
        HTTPStatus.SERVICE_UNAVAILABLE,
        Outcome.UNKNOWN,
        'Key unavailable',
        'the idempotency key could not be looked up',
        retry_after,
    )


def deadline_reached() -> Refuse:
    """The request's time is over."""
    return Refuse(
        HTTPStatus.GATEWAY_TIMEOUT,
        Outcome.NOT_RUN,
        'Deadline reached',
        'the request was not answered before its deadline',
    )
