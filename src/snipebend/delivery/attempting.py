"""Handles the events of the current attempt: refusal, chunks, end, failure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.delivery import refusals
from snipebend.delivery.actions import CancelAttempt, RelayHead
from snipebend.delivery.attempt_events import (
    AttemptBroken,
    AttemptFinished,
    AttemptRefused,
    AttemptStarted,
    ChunkArrived,
)
from snipebend.delivery.outcomes import Outcome
from snipebend.delivery.stream import ChunkFault
from snipebend.delivery.transitions import (
    continue_after_not_run,
    request_retry,
    seal_attempt,
    settle_and_end,
)
from snipebend.state.claims import Settlement, StoredAnswer

if TYPE_CHECKING:
    from snipebend.delivery.actions import Action
    from snipebend.delivery.events import Event
    from snipebend.delivery.phases import Attempting
    from snipebend.delivery.request_context import RequestContext

_CONTENT_TYPE = 'content-type'


def on_attempting(
    context: RequestContext, phase: Attempting, event: Event
) -> list[Action]:
    """Handle an event of the current attempt; ignore those of older ones."""
    match event:
        case (
            AttemptRefused()
            | AttemptStarted()
            | ChunkArrived()
            | AttemptFinished()
            | AttemptBroken()
        ) if event.attempt != phase.attempt:
            return []
        case AttemptRefused():
            return _on_refused(context, phase, event)
        case AttemptStarted():
            return _on_started(context, phase, event)
        case ChunkArrived():
            return _on_chunk(context, phase, event)
        case AttemptFinished():
            return _on_finished(context, phase, event)
        case AttemptBroken(sent=sent):
            return _on_broken(context, phase, sent=sent)
    return []


def _on_refused(
    context: RequestContext,
    phase: Attempting,
    event: AttemptRefused,
) -> list[Action]:
    if not event.reason.proves_not_run:
        return _on_broken(context, phase, sent=True)
    context.excluded |= {phase.target.upstream}
    return continue_after_not_run(
        context, phase.attempt, refusals.attempt_refused(event)
    )


def _on_started(
    context: RequestContext,
    phase: Attempting,
    event: AttemptStarted,
) -> list[Action]:
    context.response.head = RelayHead(event.status, event.headers)
    sent = context.caller.head_sent
    if sent and sent.status != event.status:
        # A resumed response with another status cannot continue the first.
        return [CancelAttempt(phase.attempt), *_abort_response(context, phase)]
    return []


def _on_chunk(
    context: RequestContext,
    phase: Attempting,
    event: ChunkArrived,
) -> list[Action]:
    ready = context.response.chunks.add(event.seq, event.payload)
    if context.response.head is None or isinstance(ready, ChunkFault):
        return _on_invalid_response(context, phase)
    if context.is_claimed:
        for payload in ready:
            context.response.body.add(payload)
    return context.caller.relay(context.response.head, ready)


def _on_finished(
    context: RequestContext,
    phase: Attempting,
    event: AttemptFinished,
) -> list[Action]:
    if context.response.head is None or context.response.chunks.finish(
        event.chunks
    ):
        return _on_invalid_response(context, phase)
    final = context.caller.finish(context.response.head)
    answer = _stored_answer(context, context.response.head)
    settlement_actions = settle_and_end(
        context, phase.attempt, Settlement.RAN, answer
    )
    return [*final, *settlement_actions]


def _on_invalid_response(
    context: RequestContext, phase: Attempting
) -> list[Action]:
    """Treat an invalid response like a broken connection."""
    broken = _on_broken(context, phase, sent=True)
    return [CancelAttempt(phase.attempt), *broken]


def _on_broken(
    context: RequestContext, phase: Attempting, *, sent: bool
) -> list[Action]:
    context.excluded |= {phase.target.upstream}
    if not sent:
        refusal = refusals.attempt_broken(Outcome.NOT_RUN)
        return continue_after_not_run(context, phase.attempt, refusal)
    if context.facts.repeatable:
        return _retry_repeatable(context, phase)
    if context.caller.head_sent and not context.is_claimed:
        return _abort_response(context, phase)
    refusal = refusals.attempt_broken(Outcome.UNKNOWN)
    # A partial response is aborted at once; the key is settled afterwards.
    aborted = context.caller.refuse(refusal) if context.caller.head_sent else []
    return [*aborted, *seal_attempt(context, phase, refusal)]


def _retry_repeatable(
    context: RequestContext, phase: Attempting
) -> list[Action]:
    """Retry repeatable work, unless a partial response prevents that."""
    context.proof.attempt_may_have_run = True
    can_resume = context.facts.streaming and context.facts.resumable
    if context.caller.head_sent and not can_resume:
        return _abort_response(context, phase)
    return request_retry(context, refusals.attempt_broken(Outcome.UNKNOWN))


def _abort_response(context: RequestContext, phase: Attempting) -> list[Action]:
    context.end()
    reason = f'attempt {phase.attempt} ended before its response was complete'
    return context.caller.abort(reason, Outcome.UNKNOWN)


def _stored_answer(
    context: RequestContext, head: RelayHead
) -> StoredAnswer | None:
    body = context.response.body.complete_body()
    if body is None:
        return None
    types = [
        field
        for name, field in head.headers.items()
        if name.lower() == _CONTENT_TYPE
    ]
    return StoredAnswer(head.status, ''.join(types[:1]), body)
