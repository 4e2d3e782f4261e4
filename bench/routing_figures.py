"""Computes figures of a run: latencies, cache hits, goodput and fairness."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from bench.queueing import WORKSPACES
from bench.routing_policies import WEIGHTS

if TYPE_CHECKING:
    from bench.queueing import Job
    from bench.routing_runs import Outcome

#: Smaller shares are rounding errors.
MIN_SHARE = 1e-6


def percentile(ordered: list[int], share: float) -> float:
    """Return the value at a quantile of an ordered list."""
    if not ordered:
        return 0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def compute_figures(outcome: Outcome) -> dict[str, float]:
    """Return the figures of a run.

    They cover the jobs that arrived after the warm-up and before the last 100
    steps.
    """
    scenario = outcome.scenario
    jobs = [
        job
        for job in outcome.jobs
        if scenario.warm_up <= job.arrived_at < scenario.steps - 100
    ]
    served = [job for job in jobs if job.first_token_at >= 0]
    waits = sorted(job.first_token_at - job.arrived_at + 1 for job in served)
    good = [job for job in served if job.is_good]
    gaps = sorted(outcome.token_gaps.elements())
    blocks = sum(len(job.chain) for job in served) or 1
    span = scenario.steps - 100 - scenario.warm_up
    return {
        'ttft_p50': percentile(waits, 0.5),
        'ttft_p95': percentile(waits, 0.95),
        'ttft_p99': percentile(waits, 0.99),
        'gap_p50': percentile(gaps, 0.5),
        'gap_p95': percentile(gaps, 0.95),
        'gap_p99': percentile(gaps, 0.99),
        'hits': sum(job.cached_blocks for job in served) / blocks,
        'served_per_step': len(served) / span,
        'good_per_step': len(good) / span,
        'refused': sum(job.refused for job in jobs) / max(1, len(jobs)),
        'fairness': fairness(jobs, good),
        'spread': sum(outcome.spread) / max(1, len(outcome.spread)),
    }


def fairness(jobs: list[Job], good: list[Job]) -> float:
    """Return Jain's index of workspaces' goodput relative to their fair share.

    The fair share is the weighted max-min share of the total goodput:
    priorities share by weight, and the workspaces of a priority equally.
    """
    requested = Counter(job.workspace for job in jobs)
    received = Counter(job.workspace for job in good)
    workspaces_by_priority = Counter(number % 3 for number in range(WORKSPACES))
    weights = {
        number: WEIGHTS[number % 3] / workspaces_by_priority[number % 3]
        for number in range(WORKSPACES)
    }
    entitled = _max_min_shares(requested, weights, len(good))
    ratios = [
        min(1, received[number] / entitled[number])
        for number in requested
        if entitled[number]
    ]
    squares = sum(ratio * ratio for ratio in ratios)
    return sum(ratios) ** 2 / (len(ratios) * squares) if squares else 0


def _max_min_shares(
    requested: Counter[int], weights: dict[int, float], total: float
) -> dict[int, float]:
    entitled: dict[int, float] = dict.fromkeys(requested, 0)
    unsatisfied = set(requested)
    while unsatisfied and total > MIN_SHARE:
        level = total / sum(weights[one] for one in unsatisfied)
        satisfied = {
            one
            for one in unsatisfied
            if requested[one] - entitled[one] <= level * weights[one]
        }
        for workspace in satisfied or unsatisfied:
            grant = (
                requested[workspace] - entitled[workspace]
                if satisfied
                else level * weights[workspace]
            )
            entitled[workspace] += grant
            total -= grant
        if not satisfied:
            break
        unsatisfied -= satisfied
    return entitled
