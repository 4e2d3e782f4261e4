"""Skew and cost of expert maps: the policy against its baselines.

Workloads are seeded, so all figures are reproducible exactly. ``skew`` figures
are the mean step skew relative to the oracle's, ``bytes`` figures the bytes
moved relative to a greedy placement from scratch at every interval.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from bench.experts.choosers import (
    OracleChooser,
    PolicyChooser,
    ScratchChooser,
    StaticChooser,
)
from bench.experts.run import run
from bench.experts.workloads import WORKLOADS, Traffic
from snipebend.experts.model import GroupShape
from snipebend.fleet.model import Weights

if TYPE_CHECKING:
    from bench.experts.choosers import MapChooser
    from bench.experts.run import Outcome

#: Current size of both deployments, with fewer layers to run quickly.
SHAPE = GroupShape(
    ranks=16,
    experts=64,
    layers=6,
    slots=6,
    expert_bytes=22_020_096,
)
#: Rate of the store, reduced by the same factor as the layers: 6 of 24.
STORE_BYTES_PER_S = 500_000_000
SEED = 7
#: Weights of the two deployments.
MAENGELWERK = Weights(skew=0.8, cost=0.2)
CHANTHAVONG = Weights(skew=0.3, cost=0.7)


def make_choosers() -> dict[str, MapChooser]:
    """Return the baselines and the policy with both deployments' weights."""
    return {
        'static': StaticChooser(),
        'scratch': ScratchChooser(SHAPE),
        'oracle': OracleChooser(SHAPE),
        'maengelwerk': PolicyChooser(SHAPE, MAENGELWERK, STORE_BYTES_PER_S),
        'chanthavong': PolicyChooser(SHAPE, CHANTHAVONG, STORE_BYTES_PER_S),
    }


def measure() -> dict[str, float]:
    """Run all workloads; return figures by name, relative to the baselines."""
    figures: dict[str, float] = {}
    for make_workload in WORKLOADS:
        workload = make_workload(SHAPE, SEED)
        choosers = make_choosers()
        outcomes = run(SHAPE, workload, choosers, Traffic(), SEED)
        figures |= _ratios_to_baselines(workload.name, outcomes)
    return figures


def _ratios_to_baselines(
    workload: str,
    outcomes: dict[str, Outcome],
) -> dict[str, float]:
    oracle = outcomes.pop('oracle')
    scratch_bytes = outcomes['scratch'].load_bytes
    figures = {f'{workload}.oracle.mean_skew': oracle.skew}
    for name, outcome in outcomes.items():
        prefix = f'{workload}.{name}'
        figures[f'{prefix}.skew'] = outcome.skew / oracle.skew
        figures[f'{prefix}.bytes'] = outcome.load_bytes / scratch_bytes
        figures[f'{prefix}.changes'] = outcome.changes
    return figures
