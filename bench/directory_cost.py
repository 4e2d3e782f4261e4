"""Measures the cost of directory differences by the number of upstreams.

Run by hand: ``python -m bench.directory_cost`` prints JSON, a row per size:
bytes of the first difference and of one in which every load changed,
microseconds to make and to apply the latter, and the copy's memory in bytes.
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
    """Measure one size; times are the minimum over the repeats."""
    view = WatcherView()
    tracemalloc.start()
    copy = DirectoryCopy()
    first = msgpack.encode(view.advance(_make_announcements(upstreams, 0), 1))
    before, _ = tracemalloc.get_traced_memory()
    copy.apply(msgpack.decode(first, type=type(view.advance((), 1))))
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    view = WatcherView()
    view.advance(_make_announcements(upstreams, 0), 1)
    make_s: list[float] = []
    apply_s: list[float] = []
    size = 0
    for load in range(1, _REPEATS):
        # The loads differ by enough that each change is part of a difference.
        announcements = _make_announcements(upstreams, load % 2 * 40)
        started_at = time.perf_counter()
        delta = view.advance(announcements, 1)
        make_s.append(time.perf_counter() - started_at)
        size = len(msgpack.encode(delta))
        started_at = time.perf_counter()
        copy.apply(delta)
        apply_s.append(time.perf_counter() - started_at)
    return Row(
        upstreams,
        len(first),
        size,
        min(make_s) * _MICRO,
        min(apply_s) * _MICRO,
        after - before,
    )


def _make_announcements(upstreams: int, load: int) -> tuple[Announcement, ...]:
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
