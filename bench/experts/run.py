"""Runs one workload with several map choosers on the same reports."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import numpy as np

from bench.experts.choosers import IntervalEnd, place_and_search
from bench.experts.workloads import draw_reports
from snipebend.experts.estimate import LoadEstimator
from snipebend.experts.skew import relative_loads, step_skew

if TYPE_CHECKING:
    from bench.experts.choosers import MapChooser
    from bench.experts.workloads import Traffic, Workload
    from snipebend.experts.model import GroupShape

STEP_S = 0.05


class Outcome(NamedTuple):
    """Mean step skew, bytes moved, changes; skew and loads by interval."""

    skew: float
    load_bytes: int
    changes: int
    skews: list[float]
    loads: list[int]


def run(
    shape: GroupShape,
    workload: Workload,
    choosers: dict[str, MapChooser],
    traffic: Traffic,
    seed: int,
) -> dict[str, Outcome]:
    """Score each chooser's maps on the true shares of each interval.

    All choosers use one estimate, whose weights halve in each interval, and
    start with the map that is best for the first interval; a map chosen at an
    interval's end is used in the next one.
    """
    rng = np.random.default_rng(seed)
    estimator = LoadEstimator(shape, traffic.interval_steps)
    first = place_and_search(shape, workload.shares[0], 1)
    maps = dict.fromkeys(choosers, first)
    skews: dict[str, list[float]] = {name: [] for name in choosers}
    loads: dict[str, list[int]] = {name: [] for name in choosers}
    for number, shares in enumerate(workload.shares[:-1]):
        step = (number + 1) * traffic.interval_steps
        following = workload.shares[number + 1]
        reports = draw_reports(shape, shares, step, traffic, rng)
        for report in reports:
            estimator.record(report).unwrap()
        estimate = estimator.estimate()
        interval = IntervalEnd(step, step * STEP_S, estimate, following)
        truth = relative_loads(following, shape.ranks)
        for name, chooser in choosers.items():
            chosen = chooser.choose_map(interval, maps[name])
            changed = int((chosen.placement != maps[name].placement).sum())
            loads[name].append(changed)
            maps[name] = chosen
            skews[name].append(step_skew(chosen.placement, truth))
    return {
        key: _summarise(skews[key], loads[key], shape.expert_bytes)
        for key in choosers
    }


def _summarise(
    skews: list[float],
    loads: list[int],
    expert_bytes: int,
) -> Outcome:
    return Outcome(
        float(np.mean(skews)),
        sum(loads) * expert_bytes,
        sum(count > 0 for count in loads),
        skews,
        loads,
    )
