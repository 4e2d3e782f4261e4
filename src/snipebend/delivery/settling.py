"""Handles replies to seals of this request's attempts and to settlements."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.delivery import refusals
from snipebend.delivery.actions import Settle
from snipebend.delivery.claim_events import (
    SealAnswered,
    SealFailed,
    SettleAnswered,
    SettleFailed,
)
from snipebend.delivery.claiming import claim_again
from snipebend.delivery.messages import SealVerdict
from snipebend.delivery.phases import (
    ClaimAgain,
    EndRequest,
    RetryAttempt,
    Settling,
)
from snipebend.delivery.transitions import (
    continue_after_not_run,
    refuse,
    request_retry,
    settle_and_end,
)
from snipebend.state.claims import Settlement

if TYPE_CHECKING:
    from snipebend.delivery.actions import Action
    from snipebend.delivery.events import Event
    from snipebend.delivery.messages import SealReply
    from snipebend.delivery.phases import SealingAttempt
    from snipebend.delivery.request_context import RequestContext


def on_sealing_attempt(
    context: RequestContext, phase: SealingAttempt, event: Event
) -> list[Action]:
    """Handle the agent's reply about this request's attempt."""
    match event:
        case SealAnswered(request_id=request_id, attempt=attempt, reply=reply):
            if (request_id, attempt) == (
                context.facts.request_id,
                phase.attempt,
            ):
                return _on_seal(context, phase, reply)
        case SealFailed(request_id=request_id, attempt=attempt):
            if (request_id, attempt) == (
                context.facts.request_id,
                phase.attempt,
            ):
                # The claim stays in place: a resend queries the agent again.
                return _end_unsettled(context, phase)
    return []


def on_settling(
    context: RequestContext, phase: Settling, event: Event
) -> list[Action]:
    """Continue after the reply to a settlement; resend or give up if none."""
    request = phase.request
    match event:
        case SettleAnswered(request_id=request_id, attempt=attempt):
            if (request_id, attempt) == (request.request_id, request.attempt):
                return _on_settled(context, phase)
        case SettleFailed(request_id=request_id, attempt=attempt):
            if (request_id, attempt) == (request.request_id, request.attempt):
                return _on_failed(context, phase)
    return []


def _on_seal(
    context: RequestContext, phase: SealingAttempt, reply: SealReply
) -> list[Action]:
    match reply.verdict:
        case SealVerdict.NOT_RUN:
            return continue_after_not_run(context, phase.attempt, phase.refusal)
        case SealVerdict.RUNNING:
            return _end_unsettled(context, phase)
        case SealVerdict.UNKNOWN:
            final = context.caller.refuse(phase.refusal)
            settlement = Settlement.UNKNOWN
        case SealVerdict.RAN:
            final = _send_stored_or_refuse(context, reply)
            settlement = Settlement.RAN
    settlement_actions = settle_and_end(
        context, phase.attempt, settlement, reply.answer
    )
    return [*final, *settlement_actions]


def _end_unsettled(
    context: RequestContext, phase: SealingAttempt
) -> list[Action]:
    context.end()
    if context.is_claimed:
        return context.caller.refuse(refusals.in_progress())
    return context.caller.refuse(phase.refusal)


def _send_stored_or_refuse(
    context: RequestContext, reply: SealReply
) -> list[Action]:
    if reply.answer is None:
        return context.caller.refuse(refusals.ran())
    return context.caller.send_stored(reply.answer)


def _on_settled(context: RequestContext, phase: Settling) -> list[Action]:
    match phase.after:
        case RetryAttempt(refusal=refusal):
            return request_retry(context, refusal)
        case ClaimAgain(claiming=claiming):
            return claim_again(context, claiming)
        case EndRequest():
            context.end()
            return []


def _on_failed(context: RequestContext, phase: Settling) -> list[Action]:
    if phase.tries_left > 0:
        context.phase = phase._replace(tries_left=phase.tries_left - 1)
        return [Settle(phase.request)]
    match phase.after:
        case RetryAttempt(refusal=refusal):
            return refuse(context, refusal)
        case ClaimAgain(claiming=claiming):
            return refuse(context, claiming.refusal)
        case EndRequest():
            context.end()
            return []
