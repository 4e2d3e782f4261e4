"""Invariants checked after every schedule."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from snipebend.delivery.actions import (
    FinishResponse,
    Refuse,
    SendStoredResponse,
)
from snipebend.delivery.outcomes import Outcome

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.delivery.pieces import SentRequest, Work
    from tests.delivery.world import World


def find_faults(world: World) -> list[str]:
    """Return the violated invariants."""
    counts = Counter(
        run.work.key or run.request_id
        for run in world.runs
        if not run.work.repeatable
    )
    faults = [f'{name} ran {n} times' for name, n in counts.items() if n > 1]
    for sent_request in world.sent_requests:
        broken = (
            *_end(sent_request),
            *_outcome(world, sent_request),
            *_response(world, sent_request),
        )
        faults.extend(f'{sent_request.request_id} {fault}' for fault in broken)
    return faults


def _end(sent_request: SentRequest) -> Iterator[str]:
    is_excused = sent_request.crashed and not sent_request.finals
    if len(sent_request.finals) != 1 and not is_excused:
        yield f'ended {len(sent_request.finals)} times'
    if not sent_request.crashed and not sent_request.machine.done:
        yield 'never ends'
    if sent_request.lacks_final:
        yield 'got no response at its deadline or disconnect'


def _outcome(world: World, sent_request: SentRequest) -> Iterator[str]:
    """Check the outcome that was reported to the caller.

    ``not-run`` means that this request never runs and that its key had not run
    when it arrived; ``ran`` means that the request or its key did run.
    """
    of_key = [
        run for run in world.runs if _is_same_key(run.work, sent_request.work)
    ]
    own = [
        run for run in world.runs if run.request_id == sent_request.request_id
    ]
    before = world.runs[: sent_request.runs_before]
    had_run = any(_is_same_key(run.work, sent_request.work) for run in before)
    outcomes = {
        getattr(final, 'outcome', None) for final in sent_request.finals
    }
    if Outcome.NOT_RUN in outcomes and (own or had_run):
        yield 'got the outcome not-run, but it ran'
    if Outcome.RAN in outcomes and not (own or of_key):
        yield 'got the outcome ran, but it did not run'


def _response(world: World, sent_request: SentRequest) -> Iterator[str]:
    received = tuple(sent_request.received)
    own = [
        run.payloads
        for run in world.runs
        if run.request_id == sent_request.request_id
    ]
    if received and received not in {
        payloads[: len(received)] for payloads in own
    }:
        yield 'got a mixed response'
    for final in sent_request.finals:
        match final:
            case FinishResponse() if received not in own:
                yield 'got a partial response that ended normally'
            case SendStoredResponse(answer=stored):
                if received or stored.body not in _complete_bodies(
                    world, sent_request
                ):
                    yield 'got a wrong stored response'
            case Refuse() if received:
                yield 'was refused in the middle of a response'


def _complete_bodies(world: World, sent_request: SentRequest) -> set[bytes]:
    return {
        b''.join(run.payloads)
        for run in world.runs
        if run.work == sent_request.work
    }


def _is_same_key(one: Work, other: Work) -> bool:
    """Return whether two pieces of non-repeatable work share a key."""
    return bool(one.key) and not one.repeatable and one.key == other.key
