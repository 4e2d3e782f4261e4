"""Cost of one routing decision by size: ``python -m bench.routing_cost``.

Prints JSON. Times are medians of this machine, in microseconds; bytes are
what Python's allocator holds more after the state was built.
"""

from __future__ import annotations

import gc
import json
import sys
import tracemalloc
from random import Random
from statistics import median
from time import perf_counter
from typing import NamedTuple

from bench.routing_policies import PRIORITIES, bench_fleet
from snipebend.fleet.lookup import FleetIndex
from snipebend.membership.subset import choose_subset
from snipebend.routing.messages import (
    Admitted,
    Choice,
    ModelTarget,
    RoutingRequest,
)
from snipebend.routing.router import Router, RouterSettings
from snipebend.routing.views import LoadView, UpstreamView

UPSTREAMS = (16, 100, 1000)
WORKSPACES = (10, 500, 4800)
CHAIN_BLOCKS = 24
ROUNDS = 2000
#: Times that a part is repeated for its median.
REPEATS = 5


class Costs(NamedTuple):
    """Microseconds a call, and bytes of a router in use."""

    admit_us: float
    choose_us: float
    finish_us: float
    update_us: float
    router_bytes: int
    prefix_pairs: int


def show(upstreams: int, now: float) -> list[UpstreamView]:
    """Return views of that many engines under some load."""
    return [
        UpstreamView(
            f'upstream-{number}',
            'engine',
            'zone' if number % 3 else 'other',
            1,
            load=LoadView(number % 11, 0, 0, now - 1),
            joined_at=-60,
        )
        for number in range(upstreams)
    ]


def ask(number: int, workspaces: int, rng: Random) -> RoutingRequest:
    """Return a request of one workspace, with a prompt of its own."""
    workspace = number % workspaces
    head = Random(number % 512)
    chain = tuple(head.getrandbits(64) for _ in range(CHAIN_BLOCKS))
    return RoutingRequest(
        f'w{workspace}',
        PRIORITIES[workspace % 3],
        ModelTarget('model'),
        1e9,
        str(number),
        chain,
    )


def time_life(
    router: Router, reqs: list[RoutingRequest], now: float
) -> list[list[float]]:
    """Return the seconds of each admission, choice and end."""
    rng = Random(1)
    spans: list[list[float]] = [[], [], []]
    for req in reqs:
        now += 0.01
        begun = perf_counter()
        admission = router.admit(req, now, rng)
        admitted = perf_counter()
        assert isinstance(admission, Admitted)
        ticket = admission.ticket
        choice = router.choose(ticket, frozenset(), now, rng)
        assert isinstance(choice, Choice)
        router.record_start(ticket, choice.upstream, now)
        chosen = perf_counter()
        router.record_success(ticket, choice.upstream, 0.1, now)
        router.close(ticket, now)
        ended = perf_counter()
        spans[0].append(admitted - begun)
        spans[1].append(chosen - admitted)
        spans[2].append(ended - chosen)
    return spans


def measure_size(index: FleetIndex, upstreams: int, workspaces: int) -> Costs:
    """Return the costs at one size."""
    rng = Random(7)
    reqs = [ask(number, workspaces, rng) for number in range(ROUNDS)]
    if workspaces > ROUNDS:
        reqs += [ask(n, workspaces, rng) for n in range(ROUNDS, workspaces)]
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    router = Router(RouterSettings('entry', 'zone'))
    router.update_fleet(index)
    router.update_upstreams(show(upstreams, 10), 10)
    time_life(router, reqs, 10)
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    updates = []
    for _ in range(REPEATS):
        views = show(upstreams, 1000)
        begun = perf_counter()
        router.update_upstreams(views, 1000)
        updates.append(perf_counter() - begun)
    spans = time_life(router, reqs, 1000)
    micros = [round(1e6 * median(part), 2) for part in spans]
    return Costs(
        *micros,
        round(1e6 * median(updates), 1),
        held,
        len(router.prefixes),
    )


def main() -> int:
    """Measure all sizes and print them."""
    sizes = {}
    for workspaces in WORKSPACES:
        index = bench_fleet(workspaces)
        for upstreams in UPSTREAMS:
            costs = measure_size(index, upstreams, workspaces)
            sizes[f'{upstreams}x{workspaces}'] = costs._asdict()
    names = [f'upstream-{number}' for number in range(375)]
    begun = perf_counter()
    subset = choose_subset('entry-1', 1100, names)
    sizes['subset_of_375'] = {
        'size': len(subset),
        'us': round(1e6 * (perf_counter() - begun), 1),
    }
    json.dump(sizes, sys.stdout, indent=1)
    return 0


if __name__ == '__main__':
    sys.exit(main())
