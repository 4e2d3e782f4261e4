"""Steps from one phase of a request's life to the next."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.delivery.actions import (
    AskRetry,
    ChooseUpstream,
    Seal,
    SendAttempt,
    Settle,
)
from snipebend.delivery.claim_messages import claim_action, own_settlement
from snipebend.delivery.messages import AttemptTicket, SealRequest
from snipebend.delivery.phases import (
    AskingRetry,
    Attempting,
    Choosing,
    Claiming,
    Leave,
    SealingHolder,
    SealingOwn,
    Settling,
    TryAgain,
)
from snipebend.state.claims import Settlement

if TYPE_CHECKING:
    from snipebend.delivery.actions import Action, Refuse
    from snipebend.delivery.facts import Target
    from snipebend.delivery.life import Life
    from snipebend.delivery.phases import AfterSettling
    from snipebend.state.claims import Holder, SettleRequest, StoredAnswer


def choose(life: Life) -> list[Action]:
    """Ask for an upstream."""
    life.phase = Choosing()
    return [ChooseUpstream(life.excluded)]


def claim(life: Life, target: Target | None, refusal: Refuse) -> list[Action]:
    """Claim the key for a new attempt, or look it up without a target."""
    attempt = life.next_attempt()
    tries_left = life.limits.claim_tries - 1
    life.phase = Claiming(attempt, target, refusal, tries_left)
    # Whoever got the key since it was last ours may have run.
    life.proof.key_in_doubt = True
    return [claim_action(life, attempt, target)]


def repeat_claim(life: Life, claiming: Claiming) -> list[Action]:
    """Send the same claim again; the store grants an attempt once only."""
    tries_left = claiming.tries_left - 1
    life.phase = claiming._replace(tries_left=tries_left)
    return [claim_action(life, claiming.attempt, claiming.target)]


def send(life: Life, attempt: int, target: Target) -> list[Action]:
    """Send an attempt, from the first chunk that the caller lacks."""
    life.phase = Attempting(attempt, target)
    life.expect_rest()
    ticket = AttemptTicket(
        request_id=life.facts.request_id,
        attempt=attempt,
        incarnation=target.incarnation,
        deadline_at=life.facts.deadline_at,
        keep_answer=not life.facts.repeatable,
        resume_from=life.answer.chunks.next_seq,
        alone=target.alone,
    )
    return [SendAttempt(target, ticket)]


def ask_retry(life: Life, refusal: Refuse) -> list[Action]:
    """Ask the retry budget, unless the caller has its answer already."""
    if life.caller.is_closed:
        life.end()
        return []
    if _is_out_of_attempts(life):
        return refuse(life, refusal)
    life.phase = AskingRetry(refusal)
    return [AskRetry()]


def refuse(life: Life, refusal: Refuse) -> list[Action]:
    """Give the refusal with the outcome as far as it is proved; end."""
    life.end()
    proved = refusal._replace(outcome=life.proof.outcome)
    return life.caller.refuse(proved)


def not_run(life: Life, attempt: int, refusal: Refuse) -> list[Action]:
    """Go on after an attempt that is proved not to have run."""
    life.proof.key_in_doubt = False
    if life.is_claimed:
        request = own_settlement(life, attempt, Settlement.NOT_RUN)
        return settle(life, request, TryAgain(refusal))
    return ask_retry(life, refusal)


def settle(
    life: Life,
    request: SettleRequest,
    after: AfterSettling,
) -> list[Action]:
    """Settle a claim and go on once that is answered."""
    life.phase = Settling(request, life.limits.settle_tries - 1, after)
    return [Settle(request)]


def settle_and_leave(
    life: Life,
    attempt: int,
    settlement: Settlement,
    answer: StoredAnswer | None = None,
) -> list[Action]:
    """Settle our own attempt as the last thing to do, if it is claimed."""
    if not life.is_claimed:
        life.end()
        return []
    request = own_settlement(life, attempt, settlement, answer)
    return settle(life, request, Leave())


def seal_own(
    life: Life, attempting: Attempting, refusal: Refuse
) -> list[Action]:
    """Ask what became of our own attempt."""
    life.phase = SealingOwn(attempting.attempt, attempting.target, refusal)
    request = SealRequest(
        life.facts.request_id,
        attempting.attempt,
        attempting.target.incarnation,
        life.facts.deadline_at,
    )
    return [Seal(attempting.target.grpc_address, request)]


def seal_holder(
    life: Life,
    holder: Holder,
    claiming: Claiming,
) -> list[Action]:
    """Ask what became of the attempt that holds the key."""
    life.holders_asked += 1
    life.phase = SealingHolder(holder, claiming)
    request = SealRequest(
        holder.request_id,
        holder.attempt,
        holder.incarnation,
        holder.deadline_at,
    )
    return [Seal(holder.grpc_address, request)]


def _is_out_of_attempts(life: Life) -> bool:
    is_late = life.now >= life.facts.deadline_at
    return is_late or life.last_attempt >= life.limits.max_attempts
