"""One decision at both sizes, and a short run at the target size.

``python -m bench.experts_large`` prints the time and the memory of a decision
at today's size and at 256 ranks, 256 experts and 60 layers, and then skew and
bytes of a drift at the target size.
"""

from __future__ import annotations

import sys
import time
import tracemalloc
from typing import TYPE_CHECKING, NamedTuple

import numpy as np

from bench.experts.players import (
    NEVER_CHANGED,
    OraclePlayer,
    PolicyPlayer,
    ScratchPlayer,
    StaticPlayer,
    polished,
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
from snipebend.experts.policy import Change, Facts, Policy

if TYPE_CHECKING:
    from bench.experts.players import Player
    from bench.experts.run import Outcome
    from snipebend.fleet.model import Weights

TODAY = GroupShape(
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
TODAY_BYTES_PER_S = 2_000_000_000
#: As many bytes a second for each rank as today.
TARGET_BYTES_PER_S = 32_000_000_000
#: Each rank tells of as many tokens in an interval as today, in one report.
ONE_REPORT = Traffic(reports=1, tokens=160_000)
#: Tokens on other experts when a decision is timed.
DRIFTED_PART = 0.1
TIMED_RUNS = 5
MEBI = 2**20
#: Maps decided every five minutes, and every minute.
COARSE = ONE_REPORT
FINE = Traffic(reports=1, tokens=32_000, interval_steps=1200)
DRIFT_STEPS = 48 * INTERVAL_STEPS
#: How long the run at the target size is.
RUN_STEPS = 4 * INTERVAL_STEPS


class DecisionFigures(NamedTuple):
    """Milliseconds and MiB; ``loads`` are the slots that the change loads."""

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
    """Time one decision after a drift, as the median of some runs."""
    rng = np.random.default_rng(SEED)
    before = draw_shares(shape, rng)
    after = draw_shares(shape, rng)
    mixed = before * (1 - DRIFTED_PART) + after * DRIFTED_PART
    current = polished(shape, before, 1)
    estimator = LoadEstimator(shape, INTERVAL_STEPS)
    reports = draw_reports(shape, mixed, INTERVAL_STEPS, ONE_REPORT, rng)
    started = time.perf_counter()
    for report in reports:
        estimator.record(report).unwrap()
    report_ms = _since(started) / len(reports)
    started = time.perf_counter()
    estimate = estimator.estimate()
    estimate_ms = _since(started)
    facts = Facts(INTERVAL_STEPS, NEVER_CHANGED, 0.6, StoreBudget(bytes_per_s))
    times = []
    for _ in range(TIMED_RUNS):
        policy = _fresh_policy(shape)
        started = time.perf_counter()
        decision = policy.decide(estimate, current, facts, 0)
        times.append(_since(started))
    policy = _fresh_policy(shape)
    tracemalloc.start()
    policy.decide(estimate, current, facts, 0)
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
    """Run the first 20 minutes of a drift of four hours."""
    every = traffic.interval_steps
    whole = morning_drift(TARGET, SEED, DRIFT_STEPS // every)
    part = whole.shares[: RUN_STEPS // every + 1]
    settings = PolicySettings(horizon_steps=5 * every)
    players: dict[str, Player] = {
        'static': StaticPlayer(),
        'scratch': ScratchPlayer(TARGET),
        'oracle': OraclePlayer(TARGET),
        'maengelwerk': _target_player(MAENGELWERK, settings),
        'chanthavong': _target_player(CHANTHAVONG, settings),
    }
    return run(TARGET, whole._replace(shares=part), players, traffic, SEED)


def main() -> None:
    """Print all figures."""
    for shape, rate in (
        (TODAY, TODAY_BYTES_PER_S),
        (TARGET, TARGET_BYTES_PER_S),
    ):
        sys.stdout.write(f'{shape}\n  {measure_decision(shape, rate)}\n')
    for traffic in (COARSE, FINE):
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


def _target_player(weights: Weights, settings: PolicySettings) -> PolicyPlayer:
    return PolicyPlayer(
        TARGET,
        weights,
        TARGET_BYTES_PER_S,
        settings=settings,
    )


def _fresh_policy(shape: GroupShape) -> Policy:
    return Policy(shape, MAENGELWERK, CostModel())


def _since(started: float) -> float:
    return (time.perf_counter() - started) * 1000


if __name__ == '__main__':
    main()
