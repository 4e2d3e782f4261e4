"""Bounds of the passes of a group whose ranks differ in speed.

A pass takes as long as the slowest rank's own part plus, layer by layer, the
experts' part of the most loaded rank. A rank has a part of its own only if it
has requests: one of them on a slow rank delays the streams of all ranks. The
bounds treat load as divisible at will, so that no policy does better. Run
``python -m bench.group_bound`` for a table.
"""

from __future__ import annotations

import math
from typing import NamedTuple


class GroupEngine(NamedTuple):
    """What the engines of a group declare; times in milliseconds."""

    ranks: int
    layers: int
    experts: int
    #: Experts of a layer that a rank can hold, and that one change may bring.
    places: int
    spare: int
    #: Duration of a step without requests, and the steps of one pass.
    step_ms: float
    pass_steps: int
    #: Share of the work for tokens that experts do.
    expert_share: float
    fetch_ms: float
    #: Longest pause of a stream that is on time.
    pause_ms: float


class SlowRanks(NamedTuple):
    """How many ranks take how many times as long for their work."""

    count: int
    pace: float


class PassBound(NamedTuple):
    """Durations of a pass in milliseconds."""

    #: With requests and a map for equally fast ranks.
    kept_ms: float
    #: With the best map, and requests on all ranks.
    mapped_ms: float
    #: With the best map, and no requests on slow ranks.
    best_ms: float


class ChangeBound(NamedTuple):
    """The smallest change of the map that relieves slow ranks."""

    #: Whether the other ranks have places for all experts.
    fits: bool
    changes: int
    fetch_ms: float


def level_heat(ranks: int, slow: SlowRanks) -> float:
    """Return the heat of all ranks when load is divided by their speed."""
    return ranks / (ranks - slow.count + slow.count / slow.pace)


def bound_pass(
    engine: GroupEngine, slow: SlowRanks, work_ms: float
) -> PassBound:
    """Return the bounds of a pass.

    ``work_ms`` is the work for the tokens of one pass, as a mean over ranks.
    """
    steps_ms = engine.pass_steps * engine.step_ms
    own_ms = (1 - engine.expert_share) * work_ms
    experts_ms = engine.expert_share * work_ms
    level_ms = experts_ms * level_heat(engine.ranks, slow)
    fast = engine.ranks - slow.count
    return PassBound(
        slow.pace * (steps_ms + own_ms + experts_ms),
        slow.pace * (steps_ms + own_ms) + level_ms,
        steps_ms + own_ms * engine.ranks / fast + level_ms,
    )


def bound_change(engine: GroupEngine, slow: SlowRanks) -> ChangeBound:
    """Return the bounds of a change that empties the slow ranks."""
    fast = engine.ranks - slow.count
    moved = math.ceil(engine.experts * slow.count / engine.ranks)
    per_rank = moved / fast
    fetches = math.ceil(per_rank * engine.layers)
    return ChangeBound(
        fast * engine.places >= engine.experts,
        math.ceil(per_rank / engine.spare),
        fetches * engine.fetch_ms,
    )


#: Groups of 63 and 16 ranks with seven, five and four steps a pass.
ENGINES = (
    GroupEngine(63, 8, 252, 5, 2, 4.84, 7, 0.85, 28.4, 120),
    GroupEngine(63, 8, 252, 5, 2, 4.55, 5, 0.85, 28.4, 150),
    GroupEngine(16, 4, 64, 5, 2, 4.55, 4, 0.85, 222, 120),
)
#: Work for tokens in one pass under usual load and with full batches.
WORKS_MS = ((9, 20), (15, 29), (12, 24))


def main() -> None:
    """Print the bounds as a table in Markdown."""
    print('| ranks, steps | slow | work ms | kept | map | best | pause |')
    print('| --- | --- | --- | --- | --- | --- | --- |')
    for engine, works in zip(ENGINES, WORKS_MS, strict=True):
        for slow in (SlowRanks(1, 2), SlowRanks(1, 5), SlowRanks(10, 5)):
            if slow.count < engine.ranks / 2:
                _print_rows(engine, slow, works)


def _print_rows(
    engine: GroupEngine, slow: SlowRanks, works: tuple[int, ...]
) -> None:
    for work_ms in works:
        bound = bound_pass(engine, slow, work_ms)
        print(
            f'| {engine.ranks}, {engine.pass_steps} '
            f'| {slow.count} x {slow.pace} | {work_ms} '
            f'| {bound.kept_ms:.0f} | {bound.mapped_ms:.0f} '
            f'| {bound.best_ms:.0f} | {engine.pause_ms:.0f} |'
        )


if __name__ == '__main__':
    main()
