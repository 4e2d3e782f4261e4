"""Plots the trade-off of skew and bytes: ``python -m bench.experts_plot``."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from matplotlib.figure import Figure

from bench.experts.choosers import (
    OracleChooser,
    PolicyChooser,
    ScratchChooser,
    StaticChooser,
)
from bench.experts.run import run
from bench.experts.workloads import (
    Traffic,
    festival_spike,
    flipping,
    morning_drift,
    two_regions,
)
from bench.quick_experts import (
    CHANTHAVONG,
    MAENGELWERK,
    SEED,
    SHAPE,
    STORE_BYTES_PER_S,
)
from snipebend.fleet.model import Weights

if TYPE_CHECKING:
    from collections.abc import Callable

    from matplotlib.axes import Axes

    from bench.experts.choosers import MapChooser
    from bench.experts.run import Outcome
    from bench.experts.workloads import Workload
    from snipebend.experts.model import GroupShape

IMAGE = Path(__file__).parent.parent / 'docs/images/expert-tradeoff.png'
#: Cost weights for a skew weight of 1: the points of the policy's curve.
COST_WEIGHTS = (0.03, 1, 10, 30, 100, 300, 1000)
#: Intervals between two placements from scratch: the points of the baseline's
#: curve.
SCRATCH_EVERY = (1, 2, 4, 8, 16)
WORKLOADS = (morning_drift, festival_spike, two_regions, flipping)


class Curves(NamedTuple):
    """Outcomes of one workload by map chooser."""

    name: str
    outcomes: dict[str, Outcome]


def measure_curves(
    make_workload: Callable[[GroupShape, int], Workload],
) -> Curves:
    """Run one workload with all map choosers."""
    workload = make_workload(SHAPE, SEED)
    choosers: dict[str, MapChooser] = {
        'static': StaticChooser(),
        'oracle': OracleChooser(SHAPE),
        'Mängelwerk': _policy_chooser(MAENGELWERK),
        'Chanthavong': _policy_chooser(CHANTHAVONG),
    }
    choosers |= {
        f'scratch {every}': ScratchChooser(SHAPE, every)
        for every in SCRATCH_EVERY
    }
    choosers |= {
        f'policy {cost}': _policy_chooser(Weights(skew=1, cost=cost))
        for cost in COST_WEIGHTS
    }
    outcomes = run(SHAPE, workload, choosers, Traffic(), SEED)
    return Curves(workload.name, outcomes)


def main() -> None:
    """Write the image and print its points."""
    figure = Figure(figsize=(8, 6), layout='constrained')
    grid = figure.subplots(2, 2)
    for axes, make_workload in zip(grid.flat, WORKLOADS, strict=True):
        curves = measure_curves(make_workload)
        _draw(axes, curves)
        for name, outcome in curves.outcomes.items():
            sys.stdout.write(
                f'{curves.name} {name} skew={outcome.skew:.4f} '
                f'terabytes={_terabytes(outcome):.4f}\n',
            )
    handles, labels = grid[0, 0].get_legend_handles_labels()
    figure.legend(handles, labels, loc='outside lower center', ncols=3)
    IMAGE.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(IMAGE, dpi=80)


def _policy_chooser(weights: Weights) -> PolicyChooser:
    return PolicyChooser(SHAPE, weights, STORE_BYTES_PER_S)


def _terabytes(outcome: Outcome) -> float:
    return outcome.load_bytes / 10**12


def _draw(axes: Axes, curves: Curves) -> None:
    outcomes = curves.outcomes
    for label, prefix, style in (
        ('from scratch, every 1 to 16 intervals', 'scratch', 's--'),
        ('policy, cost weight 0.03 to 1000', 'policy', 'o-'),
    ):
        points = [
            (_terabytes(outcome), outcome.skew)
            for name, outcome in outcomes.items()
            if name.startswith(prefix)
        ]
        axes.plot(*zip(*points, strict=True), style, label=label, markersize=4)
    for name, marker in (('Mängelwerk', '*'), ('Chanthavong', 'D')):
        point = outcomes[name]
        axes.plot(_terabytes(point), point.skew, marker, label=name)
    axes.axhline(outcomes['oracle'].skew, color='grey', label='oracle')
    axes.axhline(
        outcomes['static'].skew,
        color='black',
        linestyle=':',
        label='static',
    )
    axes.set_xscale('log')
    axes.set_title(curves.name.replace('_', ' '))
    axes.set_xlabel('weights moved (TB)')
    axes.set_ylabel('mean step skew')


if __name__ == '__main__':
    main()
