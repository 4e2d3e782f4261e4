"""Handles the caller's disconnect and the deadline.

The caller gets its final response at once; attempts and claims are completed
afterwards. Work that may not be repeated and may have started is never
cancelled: it runs to its end at the agent, so that the key's response can be
stored and a resend learns what happened. Cancelling would turn the outcome
``ran`` into ``unknown``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.delivery import refusals
from snipebend.delivery.actions import CancelAttempt
from snipebend.delivery.outcomes import Outcome
from snipebend.delivery.phases import (
    AskingRetry,
    Attempting,
    Choosing,
    EndRequest,
    SealingAttempt,
    Settling,
)

if TYPE_CHECKING:
    from snipebend.delivery.actions import Action
    from snipebend.delivery.request_context import RequestContext


def on_caller_disconnected(context: RequestContext) -> list[Action]:
    """Abort the response after the caller has disconnected."""
    final = context.caller.abort(
        'the caller disconnected', _proved_outcome(context)
    )
    return [*final, *_continue_without_caller(context)]


def on_deadline(context: RequestContext) -> list[Action]:
    """Refuse at the deadline, with the outcome as far as it is proved."""
    refusal = refusals.deadline_reached()
    final = context.caller.refuse(
        refusal._replace(outcome=_proved_outcome(context))
    )
    return [*final, *_continue_without_caller(context)]


def _proved_outcome(context: RequestContext) -> Outcome:
    match context.phase:
        case Attempting() | SealingAttempt():
            return Outcome.UNKNOWN
        case _:
            return context.proof.outcome


def _continue_without_caller(context: RequestContext) -> list[Action]:
    match context.phase:
        case Choosing() | AskingRetry():
            context.end()
        case Attempting(attempt=attempt) if context.facts.repeatable:
            context.end()
            return [CancelAttempt(attempt)]
        case Attempting() | SealingAttempt() if not context.is_claimed:
            context.end()
        case Settling() as phase:
            context.phase = phase._replace(after=EndRequest())
        case _:
            # The key is settled by a reply that is still outstanding.
            pass  # noqa: WPS420  the other phases continue unchanged
    return []
