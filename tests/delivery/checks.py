"""What must hold after every schedule."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from snipebend.delivery.actions import AnswerStored, FinishAnswer, Refuse
from snipebend.delivery.outcomes import Outcome

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.delivery.pieces import Sending, Work
    from tests.delivery.world import World


def find_faults(world: World) -> list[str]:
    """Return every broken promise, none in a good world."""
    counts = Counter(
        run.work.key or run.request_id
        for run in world.runs
        if not run.work.repeatable
    )
    faults = [f'{name} ran {n} times' for name, n in counts.items() if n > 1]
    for sending in world.sendings:
        broken = (
            *_ending(sending),
            *_outcome(world, sending),
            *_answer(world, sending),
        )
        faults.extend(f'{sending.request_id} {fault}' for fault in broken)
    return faults


def _ending(sending: Sending) -> Iterator[str]:
    is_excused = sending.crashed and not sending.finals
    if len(sending.finals) != 1 and not is_excused:
        yield f'ended {len(sending.finals)} times'
    if not sending.crashed and not sending.machine.done:
        yield 'never ends'
    if sending.held_back:
        yield 'was kept waiting past its end'


def _outcome(world: World, sending: Sending) -> Iterator[str]:
    """Judge what the caller was told.

    ``not-run`` means that this request never runs and that its key had not run
    by the time it came; ``ran`` that the request or its key did run.
    """
    of_key = [run for run in world.runs if _is_same_key(run.work, sending.work)]
    own = [run for run in world.runs if run.request_id == sending.request_id]
    before = world.runs[: sending.runs_before]
    had_run = any(_is_same_key(run.work, sending.work) for run in before)
    told = {getattr(final, 'outcome', None) for final in sending.finals}
    if Outcome.NOT_RUN in told and (own or had_run):
        yield 'was told not-run, but it ran'
    if Outcome.RAN in told and not (own or of_key):
        yield 'was told ran, but it did not'


def _answer(world: World, sending: Sending) -> Iterator[str]:
    got = tuple(sending.got)
    own = [
        run.payloads
        for run in world.runs
        if run.request_id == sending.request_id
    ]
    if got and got not in {payloads[: len(got)] for payloads in own}:
        yield 'got a mixed answer'
    for final in sending.finals:
        match final:
            case FinishAnswer() if got not in own:
                yield 'got a part as if it were whole'
            case AnswerStored(answer=stored):
                if got or stored.body not in _whole_bodies(world, sending):
                    yield 'got a strange stored answer'
            case Refuse() if got:
                yield 'was refused in mid-answer'


def _whole_bodies(world: World, sending: Sending) -> set[bytes]:
    return {
        b''.join(run.payloads) for run in world.runs if run.work == sending.work
    }


def _is_same_key(one: Work, other: Work) -> bool:
    """Compare two pieces of work that may not be repeated by their keys."""
    return bool(one.key) and not one.repeatable and one.key == other.key
