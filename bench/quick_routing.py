"""Bounds figures of the router and of baseline policies in a queueing model."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from bench.routing_figures import compute_figures
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
    run_router,
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
KILL_STEP = 500
STEPS = 800
#: Goodput counts as recovered if this share of a window's requests is good.
RECOVERED_SHARE = 0.95
WINDOW = 20
#: Steps before and after a crash over which goodput is measured.
FAILURE_WINDOW = 100


class HerdingCase(NamedTuple):
    """Number of entries and the age of their load reports in steps."""

    entries: int
    lag: int


HERDING_CASES = (
    HerdingCase(1, 200),
    HerdingCase(3, 40),
    HerdingCase(10, 0),
    HerdingCase(10, 200),
)


def run_policy(scenario: Scenario, policy: str) -> Outcome:
    """Run the baseline of the given name, or the router for other names."""
    kind = BASELINES.get(policy)
    if policy == 'least_reported':
        kind = LeastReported
    return run_baseline(scenario, kind) if kind else run_router(scenario)


def recovery_steps(outcome: Outcome) -> int:
    """Return the steps from a crash to the first recovered window.

    Goodput counts by arrival: requests that arrived in the window and whose
    first token came in time.
    """
    scenario = outcome.scenario
    for start in range(KILL_STEP, scenario.steps - WINDOW):
        if good_share(outcome, start, start + WINDOW) >= RECOVERED_SHARE:
            return start - KILL_STEP
    return scenario.steps


def good_share(outcome: Outcome, start: int, end: int) -> float:
    """Return the share of good requests among those that arrived in a span."""
    arrived_jobs = [
        job for job in outcome.jobs if start <= job.arrived_at < end
    ]
    return sum(job.is_good for job in arrived_jobs) / max(1, len(arrived_jobs))


def measure() -> dict[str, float]:
    """Return the figures; they are seeded, so the same in each run."""
    figures: dict[str, float] = {}
    for load in LOADS:
        _measure_load(figures, load)
    for herding in HERDING_CASES:
        _measure_herding(figures, herding)
    _measure_failures(figures)
    return figures


def _measure_load(figures: dict[str, float], load: float) -> None:
    scenario = Scenario(load=load, steps=STEPS)
    router_figures = compute_figures(run_router(scenario))
    names = ('ttft_p95', 'ttft_p99', 'gap_p99', 'hits', 'fairness', 'refused')
    for name in names:
        figures[f'{name}_{load}x'] = router_figures[name]
    best = max(
        compute_figures(run_policy(scenario, policy))['good_per_step']
        for policy in BASELINES
    )
    figures[f'goodput_over_best_baseline_{load}x'] = router_figures[
        'good_per_step'
    ] / max(best, 1)


def _measure_herding(figures: dict[str, float], herding: HerdingCase) -> None:
    scenario = Scenario(
        entries=herding.entries, lag=herding.lag, events=True, steps=500
    )
    router_figures = compute_figures(run_router(scenario))
    case = f'{herding.entries}_entries_{herding.lag}_late'
    figures[f'spread_{case}'] = router_figures['spread']
    figures[f'ttft_p95_{case}'] = router_figures['ttft_p95']


def _measure_failures(figures: dict[str, float]) -> None:
    for entries in (1, 3):
        killed = run_router(Scenario(entries=entries, kill_at=KILL_STEP))
        figures[f'recovery_steps_{entries}_entries'] = recovery_steps(killed)
        figures[f'good_around_death_{entries}_entries'] = good_share(
            killed, KILL_STEP - FAILURE_WINDOW, KILL_STEP + FAILURE_WINDOW
        )
        poisoned = run_router(
            Scenario(entries=entries, poison_at=KILL_STEP, steps=1600)
        )
        figures[f'lost_per_poison_{entries}_entries'] = poisoned.lost
