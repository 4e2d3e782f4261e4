"""Transitions between the phases of a request's lifecycle."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.delivery.actions import (
    AskRetry,
    ChooseUpstream,
    Seal,
    SendAttempt,
    Settle,
)
from snipebend.delivery.claim_messages import attempt_settlement, claim_action
from snipebend.delivery.messages import AttemptTicket, SealRequest
from snipebend.delivery.phases import (
    AskingRetry,
    Attempting,
    Choosing,
    Claiming,
    EndRequest,
    RetryAttempt,
    SealingAttempt,
    SealingHolder,
    Settling,
)
from snipebend.state.claims import Settlement

if TYPE_CHECKING:
    from snipebend.delivery.actions import Action, Refuse
    from snipebend.delivery.facts import Target
    from snipebend.delivery.phases import AfterSettling
    from snipebend.delivery.request_context import RequestContext
    from snipebend.state.claims import Holder, SettleRequest, StoredAnswer


def choose(context: RequestContext) -> list[Action]:
    """Request an upstream from routing."""
    context.phase = Choosing()
    return [ChooseUpstream(context.excluded)]


def claim(
    context: RequestContext, target: Target | None, refusal: Refuse
) -> list[Action]:
    """Claim the key for a new attempt; without a target, only look it up."""
    attempt = context.next_attempt()
    tries_left = context.limits.claim_tries - 1
    context.phase = Claiming(attempt, target, refusal, tries_left)
    # Another request may have got the key since this one last held it, and
    # may have run.
    context.proof.key_may_have_run = True
    return [claim_action(context, attempt, target)]


def repeat_claim(context: RequestContext, claiming: Claiming) -> list[Action]:
    """Resend the same claim; the store grants an attempt only once."""
    tries_left = claiming.tries_left - 1
    context.phase = claiming._replace(tries_left=tries_left)
    return [claim_action(context, claiming.attempt, claiming.target)]


def send(context: RequestContext, attempt: int, target: Target) -> list[Action]:
    """Send an attempt that starts at the first chunk the caller lacks."""
    context.phase = Attempting(attempt, target)
    context.expect_remaining_chunks()
    ticket = AttemptTicket(
        request_id=context.facts.request_id,
        attempt=attempt,
        incarnation=target.incarnation,
        deadline_at=context.facts.deadline_at,
        keep_answer=not context.facts.repeatable,
        resume_from=context.response.chunks.next_seq,
        alone=target.alone,
    )
    return [SendAttempt(target, ticket)]


def request_retry(context: RequestContext, refusal: Refuse) -> list[Action]:
    """Request a retry, unless the caller already has its final response."""
    if context.caller.is_closed:
        context.end()
        return []
    if _has_no_attempts_left(context):
        return refuse(context, refusal)
    context.phase = AskingRetry(refusal)
    return [AskRetry()]


def refuse(context: RequestContext, refusal: Refuse) -> list[Action]:
    """Refuse with the outcome as far as it is proved, and end."""
    context.end()
    proved = refusal._replace(outcome=context.proof.outcome)
    return context.caller.refuse(proved)


def continue_after_not_run(
    context: RequestContext, attempt: int, refusal: Refuse
) -> list[Action]:
    """Continue after an attempt that is proved not to have run."""
    context.proof.key_may_have_run = False
    if context.is_claimed:
        request = attempt_settlement(context, attempt, Settlement.NOT_RUN)
        return settle(context, request, RetryAttempt(refusal))
    return request_retry(context, refusal)


def settle(
    context: RequestContext,
    request: SettleRequest,
    after: AfterSettling,
) -> list[Action]:
    """Settle a claim, and continue with ``after`` once it is answered."""
    context.phase = Settling(request, context.limits.settle_tries - 1, after)
    return [Settle(request)]


def settle_and_end(
    context: RequestContext,
    attempt: int,
    settlement: Settlement,
    answer: StoredAnswer | None = None,
) -> list[Action]:
    """Settle this request's attempt, if it is claimed, and then end."""
    if not context.is_claimed:
        context.end()
        return []
    request = attempt_settlement(context, attempt, settlement, answer)
    return settle(context, request, EndRequest())


def seal_attempt(
    context: RequestContext, attempting: Attempting, refusal: Refuse
) -> list[Action]:
    """Query the outcome of this request's attempt."""
    context.phase = SealingAttempt(
        attempting.attempt, attempting.target, refusal
    )
    request = SealRequest(
        context.facts.request_id,
        attempting.attempt,
        attempting.target.incarnation,
        context.facts.deadline_at,
    )
    return [Seal(attempting.target.grpc_address, request)]


def seal_holder(
    context: RequestContext,
    holder: Holder,
    claiming: Claiming,
) -> list[Action]:
    """Query the outcome of the attempt that holds the key."""
    context.holders_queried += 1
    context.phase = SealingHolder(holder, claiming)
    request = SealRequest(
        holder.request_id,
        holder.attempt,
        holder.incarnation,
        holder.deadline_at,
    )
    return [Seal(holder.grpc_address, request)]


def _has_no_attempts_left(context: RequestContext) -> bool:
    is_late = context.now >= context.facts.deadline_at
    return is_late or context.last_attempt >= context.limits.max_attempts
