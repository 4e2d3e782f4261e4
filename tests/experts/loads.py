"""Generated loads and reports for the tests of expert maps."""

from __future__ import annotations

import numpy as np

from snipebend.experts.estimate import ExpertReport, LoadEstimator
from snipebend.experts.model import GroupShape

SHAPE = GroupShape(ranks=8, experts=24, layers=3, slots=4, expert_bytes=1000)
INTERVAL_STEPS = 1000


def zipf_shares(shape: GroupShape, seed: int) -> np.ndarray:
    rng = np.random.default_rng(seed)
    weights = 1 / np.arange(1, shape.experts + 1)
    rows = [rng.permutation(weights) for _ in range(shape.layers)]
    return np.array(rows) / weights.sum()


def draw_reports(
    shape: GroupShape,
    shares: np.ndarray,
    step: int,
    rng: np.random.Generator,
    tokens: int = 20_000,
) -> list[ExpertReport]:
    layers = np.arange(shape.layers)
    return [
        ExpertReport(rank, step, layers, rng.multinomial(tokens, shares))
        for rank in range(shape.ranks)
    ]


def record_reports(
    estimator: LoadEstimator,
    shape: GroupShape,
    shares: np.ndarray,
    step: int,
    seed: int = 0,
) -> None:
    rng = np.random.default_rng((seed, step))
    for report in draw_reports(shape, shares, step, rng):
        estimator.record(report).unwrap()
