"""Routing policies in the queueing model: the figures that CI bounds."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from bench.routing_figures import read_figures
from bench.routing_policies import (
    Affinity,
    LeastOutstanding,
    LeastReported,
    Policy,
    RandomOfTwo,
    RoundRobin,
)
from bench.routing_runs import (
    Outcome,
    Scenario,
    run_baseline,
    run_ours,
)

BASELINES: Mapping[str, type[Policy]] = MappingProxyType(
    {
        'round_robin': RoundRobin,
        'least_outstanding': LeastOutstanding,
        'random_of_two': RandomOfTwo,
        'affinity': Affinity,
    }
)
LOADS = (0.5, 0.9, 1.2, 3)
KILLED_AT = 500
STEPS = 800
#: A window of steps counts as recovered with this share of the usual goodput.
RECOVERED = 0.95
WINDOW = 20
#: Steps on each side of a death that are looked at together.
AROUND = 100


class Herding(NamedTuple):
    """Entries and the age of their load reports in steps."""

    entries: int
    lag: int


HERDING = (Herding(1, 200), Herding(3, 40), Herding(10, 0), Herding(10, 200))


def run_policy(scenario: Scenario, policy: str) -> Outcome:
    """Run a baseline by name, or ``ours``."""
    kind = BASELINES.get(policy)
    if policy == 'least_reported':
        kind = LeastReported
    return run_baseline(scenario, kind) if kind else run_ours(scenario)


def recovery_steps(outcome: Outcome) -> int:
    """Return the steps from a death to the first window of usual goodput.

    Goodput counts by arrival: requests of a window whose first token came in
    time.
    """
    scenario = outcome.scenario
    for start in range(KILLED_AT, scenario.steps - WINDOW):
        if good_share(outcome, start, start + WINDOW) >= RECOVERED:
            return start - KILLED_AT
    return scenario.steps


def good_share(outcome: Outcome, start: int, end: int) -> float:
    """Return the share of good ones among the requests of a span."""
    asked = [job for job in outcome.jobs if start <= job.arrived < end]
    return sum(job.is_good for job in asked) / max(1, len(asked))


def measure() -> dict[str, float]:
    """Return the figures: seeded, so the same in each run."""
    figures: dict[str, float] = {}
    for load in LOADS:
        _measure_load(figures, load)
    for herding in HERDING:
        _measure_herding(figures, herding)
    _measure_failures(figures)
    return figures


def _measure_load(figures: dict[str, float], load: float) -> None:
    scenario = Scenario(load=load, steps=STEPS)
    ours = read_figures(run_ours(scenario))
    names = ('ttft_p95', 'ttft_p99', 'gap_p99', 'hits', 'fairness', 'refused')
    for name in names:
        figures[f'{name}_{load}x'] = ours[name]
    best = max(
        read_figures(run_policy(scenario, policy))['good_per_step']
        for policy in BASELINES
    )
    figures[f'goodput_over_best_baseline_{load}x'] = ours[
        'good_per_step'
    ] / max(best, 1)


def _measure_herding(figures: dict[str, float], herding: Herding) -> None:
    scenario = Scenario(
        entries=herding.entries, lag=herding.lag, events=True, steps=500
    )
    ours = read_figures(run_ours(scenario))
    case = f'{herding.entries}_entries_{herding.lag}_late'
    figures[f'spread_{case}'] = ours['spread']
    figures[f'ttft_p95_{case}'] = ours['ttft_p95']


def _measure_failures(figures: dict[str, float]) -> None:
    for entries in (1, 3):
        killed = run_ours(Scenario(entries=entries, kill_at=KILLED_AT))
        figures[f'recovery_steps_{entries}_entries'] = recovery_steps(killed)
        figures[f'good_around_death_{entries}_entries'] = good_share(
            killed, KILLED_AT - AROUND, KILLED_AT + AROUND
        )
        poisoned = run_ours(
            Scenario(entries=entries, poison_at=KILLED_AT, steps=1600)
        )
        figures[f'lost_per_poison_{entries}_entries'] = poisoned.lost
