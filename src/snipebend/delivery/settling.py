"""What a seal of our own attempt and a settlement lead to."""

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
from snipebend.delivery.phases import ClaimAgain, Leave, Settling, TryAgain
from snipebend.delivery.transitions import (
    ask_retry,
    not_run,
    refuse,
    settle_and_leave,
)
from snipebend.state.claims import Settlement

if TYPE_CHECKING:
    from snipebend.delivery.actions import Action
    from snipebend.delivery.events import Event
    from snipebend.delivery.life import Life
    from snipebend.delivery.messages import SealReply
    from snipebend.delivery.phases import SealingOwn


def on_sealing_own(life: Life, phase: SealingOwn, event: Event) -> list[Action]:
    """Take what the agent knows of our attempt."""
    match event:
        case SealAnswered(request_id=request_id, attempt=attempt, reply=reply):
            if (request_id, attempt) == (life.facts.request_id, phase.attempt):
                return _on_seal(life, phase, reply)
        case SealFailed(request_id=request_id, attempt=attempt):
            if (request_id, attempt) == (life.facts.request_id, phase.attempt):
                # The claim is left to stand: a resend asks the agent again.
                return _end_unsettled(life, phase)
    return []


def on_settling(life: Life, phase: Settling, event: Event) -> list[Action]:
    """Go on once a settlement was answered, or give it up."""
    request = phase.request
    match event:
        case SettleAnswered(request_id=request_id, attempt=attempt):
            if (request_id, attempt) == (request.request_id, request.attempt):
                return _on_settled(life, phase)
        case SettleFailed(request_id=request_id, attempt=attempt):
            if (request_id, attempt) == (request.request_id, request.attempt):
                return _on_failed(life, phase)
    return []


def _on_seal(life: Life, phase: SealingOwn, reply: SealReply) -> list[Action]:
    match reply.verdict:
        case SealVerdict.NOT_RUN:
            return not_run(life, phase.attempt, phase.refusal)
        case SealVerdict.RUNNING:
            return _end_unsettled(life, phase)
        case SealVerdict.UNKNOWN:
            final = life.caller.refuse(phase.refusal)
            settlement = Settlement.UNKNOWN
        case SealVerdict.RAN:
            final = _give_answer(life, reply)
            settlement = Settlement.RAN
    ending = settle_and_leave(life, phase.attempt, settlement, reply.answer)
    return [*final, *ending]


def _end_unsettled(life: Life, phase: SealingOwn) -> list[Action]:
    life.end()
    if life.is_claimed:
        return life.caller.refuse(refusals.in_progress())
    return life.caller.refuse(phase.refusal)


def _give_answer(life: Life, reply: SealReply) -> list[Action]:
    if reply.answer is None:
        return life.caller.refuse(refusals.ran())
    return life.caller.answer_stored(reply.answer)


def _on_settled(life: Life, phase: Settling) -> list[Action]:
    match phase.after:
        case TryAgain(refusal=refusal):
            return ask_retry(life, refusal)
        case ClaimAgain(claiming=claiming):
            return claim_again(life, claiming)
        case Leave():
            life.end()
            return []


def _on_failed(life: Life, phase: Settling) -> list[Action]:
    if phase.tries_left > 0:
        life.phase = phase._replace(tries_left=phase.tries_left - 1)
        return [Settle(phase.request)]
    match phase.after:
        case TryAgain(refusal=refusal):
            return refuse(life, refusal)
        case ClaimAgain(claiming=claiming):
            return refuse(life, claiming.refusal)
        case Leave():
            life.end()
            return []
