"""Seeded expert popularity over time, and reports sampled from it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import numpy as np

from snipebend.experts.estimate import ExpertReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from numpy.typing import NDArray

    from snipebend.experts.model import GroupShape

ZIPF_EXPONENT = 0.8
#: Five minutes of steps of 50 ms: a map is decided on once per interval.
INTERVAL_STEPS = 6000


#: Number of intervals in four and in twelve hours.
FOUR_HOURS = 48
TWELVE_HOURS = 144


class Workload(NamedTuple):
    """True shares by interval; each array is layers by experts."""

    name: str
    shares: list[NDArray[np.float64]]


class Traffic(NamedTuple):
    """Reports of ranks; the tokens of a burst choose the same experts.

    ``reports`` is the number of reports and ``tokens`` the tokens in each;
    ``lost``, ``repeated`` and ``layers_lost`` are the shares of reports and
    layers that are lost or repeated.
    """

    reports: int = 4
    tokens: int = 40_000
    burst: int = 16
    lost: float = 0.1
    repeated: float = 0.1
    layers_lost: float = 0.05
    interval_steps: int = INTERVAL_STEPS


def draw_shares(
    shape: GroupShape,
    rng: np.random.Generator,
) -> NDArray[np.float64]:
    """Return Zipf-like shares, in a random order for each layer."""
    weights = 1 / np.arange(1, shape.experts + 1) ** ZIPF_EXPONENT
    shares = weights / weights.sum()
    return np.array([rng.permutation(shares) for _ in range(shape.layers)])


def no_drift(
    shape: GroupShape,
    seed: int,
    intervals: int = FOUR_HOURS,
) -> Workload:
    """Constant popularity."""
    base = draw_shares(shape, np.random.default_rng(seed))
    return Workload('no_drift', [base for _ in range(intervals)])


def morning_drift(
    shape: GroupShape,
    seed: int,
    intervals: int = FOUR_HOURS,
) -> Workload:
    """Gradual change from one popularity to another over the whole run."""
    rng = np.random.default_rng(seed)
    before, after = draw_shares(shape, rng), draw_shares(shape, rng)
    parts = np.linspace(0, 1, intervals)
    mixes = [before * (1 - part) + after * part for part in parts]
    return Workload('morning_drift', mixes)


def festival_spike(
    shape: GroupShape,
    seed: int,
    intervals: int = FOUR_HOURS,
) -> Workload:
    """Half of the tokens on other experts for a third of the run."""
    rng = np.random.default_rng(seed)
    base, festival = draw_shares(shape, rng), draw_shares(shape, rng)
    third = intervals // 3
    ramp = [0.25]
    peak = np.full(third - 1, 0.5)
    tail = np.zeros(intervals - 2 * third - 1)
    parts = np.concatenate((np.zeros(third), ramp, peak, ramp, tail))
    mixes = [base * (1 - part) + festival * part for part in parts]
    return Workload('festival_spike', mixes)


def two_regions(
    shape: GroupShape,
    seed: int,
    intervals: int = TWELVE_HOURS,
) -> Workload:
    """Two regions in antiphase, with a daily cycle at twice the speed."""
    rng = np.random.default_rng(seed)
    east, west = draw_shares(shape, rng), draw_shares(shape, rng)
    cycle = np.arange(intervals) / intervals
    parts = (1 - np.cos(cycle * 2 * np.pi)) / 2
    mixes = [east * (1 - part) + west * part for part in parts]
    return Workload('two_regions', mixes)


def flipping(
    shape: GroupShape,
    seed: int,
    intervals: int = FOUR_HOURS,
) -> Workload:
    """Adversarial workload: popularity alternates every two intervals."""
    rng = np.random.default_rng(seed)
    first, second = draw_shares(shape, rng), draw_shares(shape, rng)
    mixes = [
        second if (number // 2) % 2 else first for number in range(intervals)
    ]
    return Workload('flipping', mixes)


WORKLOADS: tuple[Callable[[GroupShape, int], Workload], ...] = (
    no_drift,
    morning_drift,
    festival_spike,
    two_regions,
    flipping,
)


def draw_reports(
    shape: GroupShape,
    shares: NDArray[np.float64],
    end_step: int,
    traffic: Traffic,
    rng: np.random.Generator,
) -> list[ExpertReport]:
    """Return an interval's reports in random order, with gaps and copies."""
    span = traffic.interval_steps // traffic.reports
    steps = [end_step - span * number for number in range(traffic.reports)]
    reports = [
        _draw_report(shape, shares, rank, step, traffic, rng)
        for step in steps
        for rank in range(shape.ranks)
        if rng.random() >= traffic.lost
    ]
    copies = [one for one in reports if rng.random() < traffic.repeated]
    mixed = reports + copies
    rng.shuffle(mixed)
    return mixed


def _draw_report(
    shape: GroupShape,
    shares: NDArray[np.float64],
    rank: int,
    step: int,
    traffic: Traffic,
    rng: np.random.Generator,
) -> ExpertReport:
    reported = rng.random(shape.layers) >= traffic.layers_lost
    layers = np.flatnonzero(reported)
    bursts = traffic.tokens // traffic.burst
    counts = rng.multinomial(bursts, shares[layers]) * traffic.burst
    return ExpertReport(rank, step, layers, counts)
