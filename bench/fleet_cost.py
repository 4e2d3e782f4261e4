"""Measures the cost of a fleet file by its number of workspaces.

Run by hand: ``python -m bench.fleet_cost`` prints JSON with one row per size:
bytes of the canonical text, seconds to parse it, to build the index, to apply
a delta of one changed workspace and to compute the checksum, and the memory of
a parsed fleet in bytes.
"""

from __future__ import annotations

import json
import sys
import time
import tracemalloc
from collections.abc import Callable
from typing import NamedTuple

from snipebend.console.demo_fleet import FLEET
from snipebend.fleet.delta import apply_delta, checksum, delta_between
from snipebend.fleet.lookup import FleetIndex
from snipebend.fleet.model import Fleet
from snipebend.fleet.parsing import parse_fleet
from snipebend.fleet.rendering import render_fleet

SIZES = (10, 100, 1000, 4800)
_REPEATS = 3


class Row(NamedTuple):
    """The costs at one size."""

    workspaces: int
    text_bytes: int
    parse_s: float
    index_s: float
    delta_s: float
    checksum_s: float
    memory_bytes: int


def make_fleet(workspaces: int) -> Fleet:
    """Return the fleet of the demo with the given number of workspaces."""
    base = parse_fleet(FLEET, 'demo').unwrap()
    first = base.workspaces[0]
    return base._replace(
        workspaces=tuple(
            first._replace(name=f'workspace-{one}', api_key=f'key-{one}')
            for one in range(workspaces)
        ),
    )


def measure_size(workspaces: int) -> Row:
    """Measure one size; times are the minimum over the repeats."""
    fleet = make_fleet(workspaces)
    text = render_fleet(fleet)
    changed = _change_one(fleet)
    delta = delta_between(fleet, changed)
    return Row(
        workspaces,
        len(text.encode()),
        _best_time(lambda: parse_fleet(text, 'bench')),
        _best_time(lambda: FleetIndex(fleet)),
        _best_time(lambda: apply_delta(fleet, delta)),
        _best_time(lambda: checksum(fleet)),
        _measure_memory(text),
    )


def _change_one(fleet: Fleet) -> Fleet:
    last = fleet.workspaces[-1]
    changed = last._replace(weight=last.weight + 1)
    return fleet._replace(workspaces=(*fleet.workspaces[:-1], changed))


def _best_time(run: Callable[[], object]) -> float:
    durations = []
    for _ in range(_REPEATS):
        started_at = time.perf_counter()
        run()
        durations.append(time.perf_counter() - started_at)
    return min(durations)


def _measure_memory(text: str) -> int:
    tracemalloc.start()
    index = FleetIndex(parse_fleet(text, 'bench').unwrap())
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size if index.fleet else 0


if __name__ == '__main__':
    rows = [measure_size(size)._asdict() for size in SIZES]
    sys.stdout.write(f'{json.dumps(rows, indent=1)}\n')
