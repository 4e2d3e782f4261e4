"""An attempt under way: its refusal, its chunks, its end or its break."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.delivery import refusals
from snipebend.delivery.actions import CancelAttempt, RelayHead
from snipebend.delivery.attempt_events import (
    AttemptBroke,
    AttemptFinished,
    AttemptRefused,
    AttemptStarted,
    ChunkArrived,
)
from snipebend.delivery.outcomes import Outcome
from snipebend.delivery.stream import ChunkFault
from snipebend.delivery.transitions import (
    ask_retry,
    not_run,
    seal_own,
    settle_and_leave,
)
from snipebend.state.claims import Settlement, StoredAnswer

if TYPE_CHECKING:
    from snipebend.delivery.actions import Action
    from snipebend.delivery.events import Event
    from snipebend.delivery.life import Life
    from snipebend.delivery.phases import Attempting

_CONTENT_TYPE = 'content-type'


def on_attempting(life: Life, phase: Attempting, event: Event) -> list[Action]:
    """Take an event of the current attempt; drop those of older ones."""
    match event:
        case (
            AttemptRefused()
            | AttemptStarted()
            | ChunkArrived()
            | AttemptFinished()
            | AttemptBroke()
        ) if event.attempt != phase.attempt:
            return []
        case AttemptRefused():
            return _on_refused(life, phase, event)
        case AttemptStarted():
            return _on_started(life, phase, event)
        case ChunkArrived():
            return _on_chunk(life, phase, event)
        case AttemptFinished():
            return _on_finished(life, phase, event)
        case AttemptBroke(sent=sent):
            return _on_broke(life, phase, sent=sent)
    return []


def _on_refused(
    life: Life,
    phase: Attempting,
    event: AttemptRefused,
) -> list[Action]:
    if not event.reason.proves_not_run:
        return _on_broke(life, phase, sent=True)
    life.excluded |= {phase.target.upstream}
    return not_run(life, phase.attempt, refusals.attempt_refused(event))


def _on_started(
    life: Life,
    phase: Attempting,
    event: AttemptStarted,
) -> list[Action]:
    life.answer.head = RelayHead(event.status, event.headers)
    sent = life.caller.head_sent
    if sent and sent.status != event.status:
        # A resumed answer of another kind can't continue the one begun.
        return [CancelAttempt(phase.attempt), *_break_off(life, phase)]
    return []


def _on_chunk(
    life: Life,
    phase: Attempting,
    event: ChunkArrived,
) -> list[Action]:
    ready = life.answer.chunks.take(event.seq, event.payload)
    if life.answer.head is None or isinstance(ready, ChunkFault):
        return _on_garbled(life, phase)
    if life.is_claimed:
        for payload in ready:
            life.answer.body.add(payload)
    return life.caller.relay(life.answer.head, ready)


def _on_finished(
    life: Life,
    phase: Attempting,
    event: AttemptFinished,
) -> list[Action]:
    if life.answer.head is None or life.answer.chunks.finish(event.chunks):
        return _on_garbled(life, phase)
    final = life.caller.finish(life.answer.head)
    answer = _stored_answer(life, life.answer.head)
    ending = settle_and_leave(life, phase.attempt, Settlement.RAN, answer)
    return [*final, *ending]


def _on_garbled(life: Life, phase: Attempting) -> list[Action]:
    """Treat an answer that makes no sense as one that broke off."""
    broken = _on_broke(life, phase, sent=True)
    return [CancelAttempt(phase.attempt), *broken]


def _on_broke(life: Life, phase: Attempting, *, sent: bool) -> list[Action]:
    life.excluded |= {phase.target.upstream}
    if not sent:
        lost = refusals.attempt_lost(Outcome.NOT_RUN)
        return not_run(life, phase.attempt, lost)
    if life.facts.repeatable:
        return _repeat(life, phase)
    if life.caller.head_sent and not life.is_claimed:
        return _break_off(life, phase)
    lost = refusals.attempt_lost(Outcome.UNKNOWN)
    # A half answer is broken off at once, the key is settled behind it.
    broken = life.caller.refuse(lost) if life.caller.head_sent else []
    return [*broken, *seal_own(life, phase, lost)]


def _repeat(life: Life, phase: Attempting) -> list[Action]:
    """Try work again that may run more than once, if the answer allows it."""
    life.proof.attempt_in_doubt = True
    can_resume = life.facts.streaming and life.facts.resumable
    if life.caller.head_sent and not can_resume:
        return _break_off(life, phase)
    return ask_retry(life, refusals.attempt_lost(Outcome.UNKNOWN))


def _break_off(life: Life, phase: Attempting) -> list[Action]:
    life.end()
    reason = f'attempt {phase.attempt} broke off'
    return life.caller.abort(reason, Outcome.UNKNOWN)


def _stored_answer(life: Life, head: RelayHead) -> StoredAnswer | None:
    body = life.answer.body.whole()
    if body is None:
        return None
    types = [
        field
        for name, field in head.headers.items()
        if name.lower() == _CONTENT_TYPE
    ]
    return StoredAnswer(head.status, ''.join(types[:1]), body)
