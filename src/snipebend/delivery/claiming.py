"""A claim's answer, and asking after the attempt that holds the key."""

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
from snipebend.delivery.phases import ClaimAgain, Leave
from snipebend.delivery.transitions import (
    claim,
    repeat_claim,
    seal_holder,
    send,
    settle,
    settle_and_leave,
)
from snipebend.state.claims import ClaimVerdict, Settlement

if TYPE_CHECKING:
    from snipebend.delivery.actions import Action, Refuse
    from snipebend.delivery.events import Event
    from snipebend.delivery.life import Life
    from snipebend.delivery.messages import SealReply
    from snipebend.delivery.phases import Claiming, SealingHolder
    from snipebend.state.claims import ClaimReply, Holder, StoredAnswer

#: Asking after holders one after another would chase a key that moves on.
_MAX_HOLDERS_ASKED = 1


def on_claiming(life: Life, phase: Claiming, event: Event) -> list[Action]:
    """Take the answer to a claim."""
    match event:
        case ClaimAnswered(attempt=attempt, reply=reply):
            if attempt == phase.attempt:
                return _on_reply(life, phase, reply)
        case ClaimFailed(attempt=attempt, retry_after=retry_after):
            if attempt == phase.attempt:
                return _on_failed(life, phase, retry_after)
    return []


def on_sealing_holder(
    life: Life,
    phase: SealingHolder,
    event: Event,
) -> list[Action]:
    """Take what the holder's agent knows."""
    holder = phase.holder
    match event:
        case SealAnswered(request_id=request_id, attempt=attempt, reply=reply):
            if (request_id, attempt) == (holder.request_id, holder.attempt):
                return _on_seal(life, phase, reply)
        case SealFailed(request_id=request_id, attempt=attempt):
            if (request_id, attempt) == (holder.request_id, holder.attempt):
                return _end(life, refusals.in_progress())
    return []


def _on_reply(life: Life, phase: Claiming, reply: ClaimReply) -> list[Action]:
    match reply.verdict:
        case ClaimVerdict.GRANTED:
            return _on_granted(life, phase)
        case ClaimVerdict.IN_PROGRESS:
            return _on_in_progress(life, phase, reply.holder)
        case ClaimVerdict.RAN:
            life.end()
            return _give_answer(life, reply.answer)
        case ClaimVerdict.UNKNOWN:
            return _end(life, refusals.unknown())
        case ClaimVerdict.MISMATCH:
            return _end(life, refusals.key_mismatch())


def _on_granted(life: Life, phase: Claiming) -> list[Action]:
    life.proof.key_in_doubt = False
    if phase.target and not _is_given_up(life):
        return send(life, phase.attempt, phase.target)
    # Granted, but not used: the caller is told at once, the key freed after.
    refusal = phase.refusal._replace(outcome=life.proof.outcome)
    final = life.caller.refuse(refusal)
    freeing = settle_and_leave(life, phase.attempt, Settlement.NOT_RUN)
    return [*final, *freeing]


def _on_in_progress(
    life: Life,
    phase: Claiming,
    holder: Holder | None,
) -> list[Action]:
    if holder is None or life.holders_asked >= _MAX_HOLDERS_ASKED:
        return _end(life, refusals.in_progress())
    if holder.grpc_address:
        return seal_holder(life, holder, phase)
    # An attempt without an address is never sent.
    life.holders_asked += 1
    return _free_and_claim(life, holder, phase)


def _on_seal(
    life: Life,
    phase: SealingHolder,
    reply: SealReply,
) -> list[Action]:
    match reply.verdict:
        case SealVerdict.NOT_RUN:
            return _free_and_claim(life, phase.holder, phase.claiming)
        case SealVerdict.RUNNING:
            return _end(life, refusals.in_progress())
        case SealVerdict.RAN:
            final = _give_answer(life, reply.answer)
            settlement = Settlement.RAN
        case SealVerdict.UNKNOWN:
            final = life.caller.refuse(refusals.unknown())
            settlement = Settlement.UNKNOWN
    request = holder_settlement(life, phase.holder, settlement, reply.answer)
    return [*final, *settle(life, request, Leave())]


def _free_and_claim(
    life: Life,
    holder: Holder,
    claiming: Claiming,
) -> list[Action]:
    """Settle the holder's attempt, which never ran, and claim once more."""
    # The holder had the key when our claim was answered and never runs, so
    # the key had not run at that moment.
    life.proof.key_in_doubt = False
    request = holder_settlement(life, holder, Settlement.NOT_RUN)
    after = Leave() if life.caller.is_closed else ClaimAgain(claiming)
    return settle(life, request, after)


def claim_again(life: Life, claiming: Claiming) -> list[Action]:
    """Claim what was claimed before, as a new attempt."""
    if life.caller.is_closed:
        life.end()
        return []
    return claim(life, claiming.target, claiming.refusal)


def _on_failed(
    life: Life,
    phase: Claiming,
    retry_after: float,
) -> list[Action]:
    if phase.tries_left > 0 and not _is_given_up(life):
        return repeat_claim(life, phase)
    # The claim may stand although its answer was lost. Nothing was sent under
    # it, so the key can be freed.
    refusal = refusals.claim_failed(life.jittered(retry_after))
    final = life.caller.refuse(refusal._replace(outcome=life.proof.outcome))
    freeing = settle_and_leave(life, phase.attempt, Settlement.NOT_RUN)
    return [*final, *freeing]


def _give_answer(life: Life, answer: StoredAnswer | None) -> list[Action]:
    if answer is None:
        return life.caller.refuse(refusals.ran())
    return life.caller.answer_stored(answer)


def _end(life: Life, refusal: Refuse) -> list[Action]:
    life.end()
    retry_after = life.jittered(refusal.retry_after)
    return life.caller.refuse(refusal._replace(retry_after=retry_after))


def _is_given_up(life: Life) -> bool:
    return life.caller.is_closed or life.now >= life.facts.deadline_at
