"""The figures of a run: latencies, hits, goodput and fairness."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from bench.queueing import WORKSPACES
from bench.routing_policies import WEIGHTS

if TYPE_CHECKING:
    from bench.queueing import Job
    from bench.routing_runs import Outcome

#: Shares below this are rounding errors.
LEAST_SHARE = 1e-6


def percentile(ordered: list[int], share: float) -> float:
    """Return the value at a share of an ordered list."""
    if not ordered:
        return 0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def read_figures(outcome: Outcome) -> dict[str, float]:
    """Return the figures of one run, of the jobs after the warm-up."""
    scenario = outcome.scenario
    jobs = [
        job
        for job in outcome.jobs
        if scenario.warm_up <= job.arrived < scenario.steps - 100
    ]
    served = [job for job in jobs if job.first >= 0]
    waits = sorted(job.first - job.arrived + 1 for job in served)
    good = [job for job in served if job.is_good]
    gaps = sorted(outcome.gaps.elements())
    blocks = sum(len(job.chain) for job in served) or 1
    span = scenario.steps - 100 - scenario.warm_up
    return {
        'ttft_p50': percentile(waits, 0.5),
        'ttft_p95': percentile(waits, 0.95),
        'ttft_p99': percentile(waits, 0.99),
        'gap_p50': percentile(gaps, 0.5),
        'gap_p95': percentile(gaps, 0.95),
        'gap_p99': percentile(gaps, 0.99),
        'hits': sum(job.cached for job in served) / blocks,
        'served_per_step': len(served) / span,
        'good_per_step': len(good) / span,
        'refused': sum(job.refused for job in jobs) / max(1, len(jobs)),
        'fairness': fairness(jobs, good),
        'spread': sum(outcome.spread) / max(1, len(outcome.spread)),
    }


def fairness(jobs: list[Job], good: list[Job]) -> float:
    """Return Jain's index of what workspaces got over what they may have.

    What they may have is the weighted max-min share of the whole goodput;
    priorities share by weight, the workspaces of a priority equally.
    """
    asked = Counter(job.workspace for job in jobs)
    got = Counter(job.workspace for job in good)
    peers = Counter(number % 3 for number in range(WORKSPACES))
    weights = {
        number: WEIGHTS[number % 3] / peers[number % 3]
        for number in range(WORKSPACES)
    }
    due = _max_min(asked, weights, len(good))
    ratios = [
        min(1, got[number] / due[number]) for number in asked if due[number]
    ]
    squares = sum(ratio * ratio for ratio in ratios)
    return sum(ratios) ** 2 / (len(ratios) * squares) if squares else 0


def _max_min(
    asked: Counter[int], weights: dict[int, float], total: float
) -> dict[int, float]:
    due: dict[int, float] = dict.fromkeys(asked, 0)
    hungry = set(asked)
    while hungry and total > LEAST_SHARE:
        level = total / sum(weights[one] for one in hungry)
        full = {
            one
            for one in hungry
            if asked[one] - due[one] <= level * weights[one]
        }
        for one in full or hungry:
            given = asked[one] - due[one] if full else level * weights[one]
            due[one] += given
            total -= given
        if not full:
            break
        hungry -= full
    return due
