"""Cost of one decision at both sizes, and a short run at the target size.

``python -m bench.experts_large`` prints the time and the memory of a decision
at the current size and at 256 ranks, 256 experts and 60 layers, and then skew
and bytes moved under a drift at the target size.
"""

from __future__ import annotations

import sys
import time
import tracemalloc
from typing import TYPE_CHECKING, NamedTuple

import numpy as np

from bench.experts.choosers import (
    NEVER_CHANGED,
    OracleChooser,
    PolicyChooser,
    ScratchChooser,
    StaticChooser,
    place_and_search,
)
from bench.experts.run import run
from bench.experts.workloads import (
    INTERVAL_STEPS,
    Traffic,
    draw_reports,
    draw_shares,
    morning_drift,
)
from bench.quick_experts import CHANTHAVONG, MAENGELWERK, SEED
from snipebend.experts.cost import CostModel, StoreBudget
from snipebend.experts.estimate import LoadEstimator
from snipebend.experts.model import GroupShape
from snipebend.experts.planner import PolicySettings
from snipebend.experts.policy import Change, DecisionContext, Policy

if TYPE_CHECKING:
    from bench.experts.choosers import MapChooser
    from bench.experts.run import Outcome
    from snipebend.fleet.model import Weights

CURRENT = GroupShape(
    ranks=16,
    experts=64,
    layers=24,
    slots=6,
    expert_bytes=22_020_096,
)
TARGET = GroupShape(
    ranks=256,
    experts=256,
    layers=60,
    slots=2,
    expert_bytes=22_020_096,
)
CURRENT_BYTES_PER_S = 2_000_000_000
#: The same rate for each rank as at the current size.
TARGET_BYTES_PER_S = 32_000_000_000
#: Each rank reports as many tokens per interval as at the current size, in one
#: report.
ONE_REPORT_PER_INTERVAL = Traffic(reports=1, tokens=160_000)
#: Share of tokens that moved to other experts before the timed decision.
DRIFTED_SHARE = 0.1
TIMED_RUNS = 5
MEBI = 2**20
#: Decisions every five minutes, and every minute.
FIVE_MINUTE_DECISIONS = ONE_REPORT_PER_INTERVAL
ONE_MINUTE_DECISIONS = Traffic(reports=1, tokens=32_000, interval_steps=1200)
DRIFT_STEPS = 48 * INTERVAL_STEPS
#: Length of the run at the target size.
RUN_STEPS = 4 * INTERVAL_STEPS


class DecisionFigures(NamedTuple):
    """Times in ms and sizes in MiB; ``loads`` is the number of loaded slots."""

    report_ms: float
    estimate_ms: float
    decide_ms: float
    decide_peak_mib: float
    loads: int
    map_kib: float


def measure_decision(
    shape: GroupShape,
    bytes_per_s: float,
) -> DecisionFigures:
    """Time one decision after a drift; the median of several runs."""
    rng = np.random.default_rng(SEED)
    before = draw_shares(shape, rng)
    after = draw_shares(shape, rng)
    mixed = before * (1 - DRIFTED_SHARE) + after * DRIFTED_SHARE
    current = place_and_search(shape, before, 1)
    estimator = LoadEstimator(shape, INTERVAL_STEPS)
    reports = draw_reports(
        shape, mixed, INTERVAL_STEPS, ONE_REPORT_PER_INTERVAL, rng
    )
    started = time.perf_counter()
    for report in reports:
        estimator.record(report).unwrap()
    report_ms = _elapsed_ms(started) / len(reports)
    started = time.perf_counter()
    estimate = estimator.estimate()
    estimate_ms = _elapsed_ms(started)
    context = DecisionContext(
        INTERVAL_STEPS, NEVER_CHANGED, 0.6, StoreBudget(bytes_per_s)
    )
    times = []
    for _ in range(TIMED_RUNS):
        policy = _fresh_policy(shape)
        started = time.perf_counter()
        decision = policy.decide(estimate, current, context, 0)
        times.append(_elapsed_ms(started))
    policy = _fresh_policy(shape)
    tracemalloc.start()
    policy.decide(estimate, current, context, 0)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return DecisionFigures(
        report_ms,
        estimate_ms,
        float(np.median(times)),
        peak / MEBI,
        len(decision.moves) if isinstance(decision, Change) else 0,
        len(current.encode()) / 1024,
    )


def run_target(traffic: Traffic) -> dict[str, Outcome]:
    """Run the first 20 minutes of a drift over four hours."""
    every = traffic.interval_steps
    full_drift = morning_drift(TARGET, SEED, DRIFT_STEPS // every)
    first_intervals = full_drift.shares[: RUN_STEPS // every + 1]
    settings = PolicySettings(horizon_steps=5 * every)
    choosers: dict[str, MapChooser] = {
        'static': StaticChooser(),
        'scratch': ScratchChooser(TARGET),
        'oracle': OracleChooser(TARGET),
        'maengelwerk': _target_chooser(MAENGELWERK, settings),
        'chanthavong': _target_chooser(CHANTHAVONG, settings),
    }
    return run(
        TARGET,
        full_drift._replace(shares=first_intervals),
        choosers,
        traffic,
        SEED,
    )


def main() -> None:
    """Print all figures."""
    for shape, rate in (
        (CURRENT, CURRENT_BYTES_PER_S),
        (TARGET, TARGET_BYTES_PER_S),
    ):
        sys.stdout.write(f'{shape}\n  {measure_decision(shape, rate)}\n')
    for traffic in (FIVE_MINUTE_DECISIONS, ONE_MINUTE_DECISIONS):
        _print_run(traffic)


def _print_run(traffic: Traffic) -> None:
    outcomes = run_target(traffic)
    oracle = outcomes['oracle'].skew
    scratch = outcomes['scratch'].load_bytes
    sys.stdout.write(f'decisions every {traffic.interval_steps} steps\n')
    for name, outcome in outcomes.items():
        skew = outcome.skew / oracle
        moved = outcome.load_bytes / scratch
        sys.stdout.write(
            f'{name} skew={outcome.skew:.4f} over_oracle={skew:.4f} '
            f'load_bytes={outcome.load_bytes:.4g} '
            f'bytes_over_scratch={moved:.4f} changes={outcome.changes}\n',
        )


def _target_chooser(
    weights: Weights, settings: PolicySettings
) -> PolicyChooser:
    return PolicyChooser(
        TARGET,
        weights,
        TARGET_BYTES_PER_S,
        settings=settings,
    )


def _fresh_policy(shape: GroupShape) -> Policy:
    return Policy(shape, MAENGELWERK, CostModel())


def _elapsed_ms(started: float) -> float:
    return (time.perf_counter() - started) * 1000


if __name__ == '__main__':
    main()
