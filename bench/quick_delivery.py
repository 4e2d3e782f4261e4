"""Bounds attempts and unknown outcomes under faults, with and without seals.

The schedules are those of the delivery tests, with a mix of 3% lost, 2% late
and 3% duplicated messages, and crashes. The baseline is the same except that
seals get no reply, as if an entry had to guess. Only work that may not be
repeated is counted. The schedules are seeded, so that the figures are exact.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, NamedTuple

from snipebend.delivery.outcomes import Outcome
from tests.delivery.checks import find_faults
from tests.delivery.pieces import FaultRates
from tests.delivery.world import World

if TYPE_CHECKING:
    from tests.delivery.pieces import SentRequest

SCHEDULES = 400
STEPS = 200
MIX = FaultRates(
    lost=0.03,
    late=0.02,
    doubled=0.03,
    unsent=0.02,
    broken=0.02,
    process_faults=0.06,
    no_upstream=0.02,
    max_records=(8, 128),
)


class Totals(NamedTuple):
    """Counts of a variant over all schedules."""

    requests: int
    attempts: int
    unknown: int
    answered: int
    faults: int


def measure() -> dict[str, float]:
    """Return shares and attempts per request with and without seals."""
    with_seal = _run_schedules(MIX)
    without = _run_schedules(MIX._replace(seals_answered=False))
    unknown_share = with_seal.unknown / with_seal.requests
    unknown_share_no_seal = without.unknown / without.requests
    return {
        'requests': with_seal.requests,
        'faults': with_seal.faults + without.faults,
        'attempts_per_request': with_seal.attempts / with_seal.requests,
        'attempts_per_request_no_seal': without.attempts / without.requests,
        'unknown_share': unknown_share,
        'unknown_share_no_seal': unknown_share_no_seal,
        'unknown_share_saved': unknown_share_no_seal - unknown_share,
        'answered_share': with_seal.answered / with_seal.requests,
        'answered_share_no_seal': without.answered / without.requests,
    }


def _run_schedules(mix: FaultRates) -> Totals:
    sendings: list[SentRequest] = []
    faults = 0
    for seed in range(SCHEDULES):
        world = World(seed, mix)
        world.run_schedule(STEPS)
        faults += len(find_faults(world))
        sendings.extend(
            sending
            for sending in world.sent_requests
            if sending.finals and not sending.work.repeatable
        )
    outcomes = [_outcome_of(sending) for sending in sendings]
    return Totals(
        requests=len(sendings),
        attempts=sum(len(sending.conns) for sending in sendings),
        unknown=outcomes.count(Outcome.UNKNOWN),
        answered=outcomes.count(None),
        faults=faults,
    )


def _outcome_of(sending: SentRequest) -> Outcome | None:
    """Return the outcome sent to the caller; ``None`` if it was answered."""
    return getattr(sending.finals[0], 'outcome', None)


if __name__ == '__main__':
    for name, figure in measure().items():
        sys.stdout.write(f'{name} = {figure:.6g}\n')
