"""Performs the machine's actions in a schedule, with injected faults."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from snipebend.delivery.actions import (
    AskRetry,
    CancelAttempt,
    ChooseUpstream,
    Claim,
    RelayChunk,
    RelayHead,
    Seal,
    SendAttempt,
    SetTimer,
    Settle,
)
from snipebend.delivery.claim_events import (
    ClaimAnswered,
    ClaimFailed,
    SealAnswered,
    SealFailed,
    SettleAnswered,
    SettleFailed,
)
from snipebend.delivery.events import (
    NoUpstream,
    RetryDenied,
    RetryGranted,
    UpstreamChosen,
)
from snipebend.delivery.facts import Target
from tests.delivery.engines import send_attempt

if TYPE_CHECKING:
    from collections.abc import Callable

    from snipebend.delivery.actions import Action
    from snipebend.delivery.events import Event
    from snipebend.state.claims import ClaimRequest, SettleRequest
    from tests.delivery.pieces import SentRequest
    from tests.delivery.world import World

#: Size of the longest response that the claim store keeps.
MAX_STORED_BYTES = 4096


def perform(world: World, sent_request: SentRequest, action: Action) -> None:
    match action:
        case ChooseUpstream(exclude=exclude):
            world.later(world.step, sent_request, _choose(world, exclude))
        case AskRetry():
            granted = world.occurs(0.8)
            reply = RetryGranted() if granted else RetryDenied(2)
            world.later(world.step, sent_request, reply)
        case Claim() | Settle() | Seal():
            _call(world, sent_request, action)
        case SendAttempt(target=target, ticket=ticket):
            agent = world.agents[target.upstream]
            send_attempt(world, sent_request, agent, ticket)
        case CancelAttempt(attempt=attempt):
            sent_request.conns[attempt].is_open = False
        case RelayChunk(payload=payload):
            sent_request.received.append(payload)
        case RelayHead() | SetTimer():
            return
        case final:
            sent_request.finals.append(final)
            world.count_final(final)


def _choose(world: World, exclude: frozenset[str]) -> Event:
    names = [name for name in world.agents if name not in exclude]
    if not names or world.occurs(world.rates.no_upstream):
        return NoUpstream(retry_after=1)
    name = world.rng.choice(names)
    return UpstreamChosen(
        Target(name, world.known_incarnations[name], name, name)
    )


def _call(
    world: World, sent_request: SentRequest, action: Claim | Settle | Seal
) -> None:
    """Make a call whose request or reply may be lost, late or duplicated."""
    request = action.request
    match action:
        case Claim():
            serve = partial(_claim, world, request)
            failed: Event = ClaimFailed(request.holder.attempt)
        case Settle():
            serve = partial(_settle, world, request)
            failed = SettleFailed(request.request_id, request.attempt)
        case Seal():
            serve = partial(_seal, world, action)
            failed = SealFailed(request.request_id, request.attempt)
    delivery = world.choose_delivery()
    is_unanswered = isinstance(action, Seal) and not world.rates.seals_answered
    if is_unanswered or delivery in {'lost', 'late'}:
        world.later(world.step, sent_request, failed)
    if is_unanswered:
        return
    deliver_reply = partial(_reply, world, sent_request, serve, failed)
    match delivery:
        case 'late':
            world.later(serve)
        case 'doubled':
            world.later(deliver_reply)
            world.later(deliver_reply)
        case 'arrives':
            world.later(deliver_reply)


def _reply(
    world: World,
    sent_request: SentRequest,
    serve: Callable[[], Event],
    failed: Event,
) -> None:
    event = serve()
    is_lost = world.occurs(world.rates.lost)
    world.later(world.step, sent_request, failed if is_lost else event)


def _claim(world: World, request: ClaimRequest) -> Event:
    reply = world.store.claim(request, world.now)
    return ClaimAnswered(request.holder.attempt, reply)


def _settle(world: World, request: SettleRequest) -> Event:
    reply = world.store.settle(request, MAX_STORED_BYTES)
    return SettleAnswered(request.request_id, request.attempt, reply)


def _seal(world: World, action: Seal) -> Event:
    agent = world.agents[action.grpc_address]
    request = action.request
    reply = agent.guard.seal(request, world.now + agent.skew)
    return SealAnswered(request.request_id, request.attempt, reply)
