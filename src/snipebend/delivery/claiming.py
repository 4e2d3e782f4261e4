"""Handles replies to claims, and queries the attempt that holds the key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.delivery import refusals
from snipebend.delivery.claim_events import (
    ClaimAnswered,
    ClaimFailed,
    SealAnswered,
    SealFailed,
)
from snipebend.delivery.claim_messages import holder_settlement
from snipebend.delivery.messages import SealVerdict
from snipebend.delivery.phases import ClaimAgain, EndRequest
from snipebend.delivery.transitions import (
    claim,
    repeat_claim,
    seal_holder,
    send,
    settle,
    settle_and_end,
)
from snipebend.state.claims import ClaimVerdict, Settlement

if TYPE_CHECKING:
    from snipebend.delivery.actions import Action, Refuse
    from snipebend.delivery.events import Event
    from snipebend.delivery.messages import SealReply
    from snipebend.delivery.phases import Claiming, SealingHolder
    from snipebend.delivery.request_context import RequestContext
    from snipebend.state.claims import ClaimReply, Holder, StoredAnswer

#: Holders queried per request: querying each new holder could go on without
#: end while the key changes hands.
_MAX_HOLDERS_QUERIED = 1


def on_claiming(
    context: RequestContext, phase: Claiming, event: Event
) -> list[Action]:
    """Handle the reply to a claim."""
    match event:
        case ClaimAnswered(attempt=attempt, reply=reply):
            if attempt == phase.attempt:
                return _on_reply(context, phase, reply)
        case ClaimFailed(attempt=attempt, retry_after=retry_after):
            if attempt == phase.attempt:
                return _on_failed(context, phase, retry_after)
    return []


def on_sealing_holder(
    context: RequestContext,
    phase: SealingHolder,
    event: Event,
) -> list[Action]:
    """Handle the reply of the holder's agent."""
    holder = phase.holder
    match event:
        case SealAnswered(request_id=request_id, attempt=attempt, reply=reply):
            if (request_id, attempt) == (holder.request_id, holder.attempt):
                return _on_seal(context, phase, reply)
        case SealFailed(request_id=request_id, attempt=attempt):
            if (request_id, attempt) == (holder.request_id, holder.attempt):
                return _refuse_and_end(context, refusals.in_progress())
    return []


def _on_reply(
    context: RequestContext, phase: Claiming, reply: ClaimReply
) -> list[Action]:
    match reply.verdict:
        case ClaimVerdict.GRANTED:
            return _on_granted(context, phase)
        case ClaimVerdict.IN_PROGRESS:
            return _on_in_progress(context, phase, reply.holder)
        case ClaimVerdict.RAN:
            context.end()
            return _send_stored_or_refuse(context, reply.answer)
        case ClaimVerdict.UNKNOWN:
            return _refuse_and_end(context, refusals.unknown())
        case ClaimVerdict.MISMATCH:
            return _refuse_and_end(context, refusals.key_mismatch())


def _on_granted(context: RequestContext, phase: Claiming) -> list[Action]:
    context.proof.key_may_have_run = False
    if phase.target and not _is_abandoned(context):
        return send(context, phase.attempt, phase.target)
    # Granted, but not used: the caller is refused at once, and the key is
    # released afterwards.
    refusal = phase.refusal._replace(outcome=context.proof.outcome)
    final = context.caller.refuse(refusal)
    release_actions = settle_and_end(context, phase.attempt, Settlement.NOT_RUN)
    return [*final, *release_actions]


def _on_in_progress(
    context: RequestContext,
    phase: Claiming,
    holder: Holder | None,
) -> list[Action]:
    if holder is None or context.holders_queried >= _MAX_HOLDERS_QUERIED:
        return _refuse_and_end(context, refusals.in_progress())
    if holder.grpc_address:
        return seal_holder(context, holder, phase)
    # An attempt without an agent address is never sent.
    context.holders_queried += 1
    return _release_and_claim(context, holder, phase)


def _on_seal(
    context: RequestContext,
    phase: SealingHolder,
    reply: SealReply,
) -> list[Action]:
    match reply.verdict:
        case SealVerdict.NOT_RUN:
            return _release_and_claim(context, phase.holder, phase.claiming)
        case SealVerdict.RUNNING:
            return _refuse_and_end(context, refusals.in_progress())
        case SealVerdict.RAN:
            final = _send_stored_or_refuse(context, reply.answer)
            settlement = Settlement.RAN
        case SealVerdict.UNKNOWN:
            final = context.caller.refuse(refusals.unknown())
            settlement = Settlement.UNKNOWN
    request = holder_settlement(context, phase.holder, settlement, reply.answer)
    return [*final, *settle(context, request, EndRequest())]


def _release_and_claim(
    context: RequestContext,
    holder: Holder,
    claiming: Claiming,
) -> list[Action]:
    """Settle the holder's attempt, which never ran, and claim again."""
    # The holder had the key when this request's claim was answered, and it
    # never runs, so the key had not run at that time.
    context.proof.key_may_have_run = False
    request = holder_settlement(context, holder, Settlement.NOT_RUN)
    after = EndRequest() if context.caller.is_closed else ClaimAgain(claiming)
    return settle(context, request, after)


def claim_again(context: RequestContext, claiming: Claiming) -> list[Action]:
    """Claim the same key again, as a new attempt."""
    if context.caller.is_closed:
        context.end()
        return []
    return claim(context, claiming.target, claiming.refusal)


def _on_failed(
    context: RequestContext,
    phase: Claiming,
    retry_after: float,
) -> list[Action]:
    if phase.tries_left > 0 and not _is_abandoned(context):
        return repeat_claim(context, phase)
    # The claim may have been granted although the reply was lost. Nothing was
    # sent under it, so the key can be released.
    refusal = refusals.claim_failed(context.with_jitter(retry_after))
    final = context.caller.refuse(
        refusal._replace(outcome=context.proof.outcome)
    )
    release_actions = settle_and_end(context, phase.attempt, Settlement.NOT_RUN)
    return [*final, *release_actions]


def _send_stored_or_refuse(
    context: RequestContext, answer: StoredAnswer | None
) -> list[Action]:
    if answer is None:
        return context.caller.refuse(refusals.ran())
    return context.caller.send_stored(answer)


def _refuse_and_end(context: RequestContext, refusal: Refuse) -> list[Action]:
    context.end()
    retry_after = context.with_jitter(refusal.retry_after)
    return context.caller.refuse(refusal._replace(retry_after=retry_after))


def _is_abandoned(context: RequestContext) -> bool:
    return context.caller.is_closed or context.now >= context.facts.deadline_at
