"""What the directory's differences cost by the number of upstreams.

Run by hand: ``python -m bench.directory_cost`` prints JSON, a row a size: bytes
of the first difference and of one in which every load changed, microseconds to
make and to apply the latter, and the copy's memory in bytes.
"""

from __future__ import annotations

import json
import sys
import time
import tracemalloc
from typing import NamedTuple

from msgspec import msgpack, structs

from snipebend.membership.directory_delta import DirectoryCopy, WatcherView
from snipebend.membership.messages import Announcement

SIZES = (19, 256, 1714)
_REPEATS = 20
_MICRO = 1e6


class Row(NamedTuple):
    """The costs at one size."""

    upstreams: int
    first_bytes: int
    loads_bytes: int
    make_us: float
    apply_us: float
    copy_bytes: int


def measure_size(upstreams: int) -> Row:
    """Measure one size; times are the best of the repeats."""
    view = WatcherView()
    tracemalloc.start()
    copy = DirectoryCopy()
    first = msgpack.encode(view.advance(_fresh(upstreams, 0), 1))
    before, _ = tracemalloc.get_traced_memory()
    copy.apply(msgpack.decode(first, type=type(view.advance((), 1))))
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    view = WatcherView()
    view.advance(_fresh(upstreams, 0), 1)
    made: list[float] = []
    applied: list[float] = []
    size = 0
    for load in range(1, _REPEATS):
        # Far enough apart that each change is told.
        fresh = _fresh(upstreams, load % 2 * 40)
        began_at = time.perf_counter()
        delta = view.advance(fresh, 1)
        made.append(time.perf_counter() - began_at)
        size = len(msgpack.encode(delta))
        began_at = time.perf_counter()
        copy.apply(delta)
        applied.append(time.perf_counter() - began_at)
    return Row(
        upstreams,
        len(first),
        size,
        min(made) * _MICRO,
        min(applied) * _MICRO,
        after - before,
    )


def _fresh(upstreams: int, load: int) -> tuple[Announcement, ...]:
    return tuple(
        structs.replace(_BASE, upstream=f'drafting-{one:05}', running=load)
        for one in range(upstreams)
    )


_BASE = Announcement(
    upstream='',
    policy='drafting',
    data_center='zrh-1',
    http_address='10.0.0.7:8080',
    grpc_address='10.0.0.7:8081',
    incarnation=1764700000000,
    sequence=1,
)


if __name__ == '__main__':
    rows = [measure_size(size)._asdict() for size in SIZES]
    sys.stdout.write(f'{json.dumps(rows, indent=1)}\n')
