"""Measures the cost of a directory watcher with and without a subset.

Run by hand: ``python -m bench.subset_cost`` prints JSON, a row per layout:
bytes of the first difference and of one in which every load changed (a watcher
gets at most one of these a second), microseconds to make that one, and
microseconds when one upstream leaves: once for all watchers and per watcher.
"""

from __future__ import annotations

import json
import sys
import time
from typing import TYPE_CHECKING, NamedTuple

from msgspec import msgpack, structs

from snipebend.membership.directory import UpstreamDirectory
from snipebend.membership.directory_delta import WatcherView
from snipebend.membership.messages import (
    Announcement,
    DirectoryRequest,
    Phase,
)
from snipebend.membership.watcher_subset import (
    Pools,
    WatcherSubset,
    group_pools,
)

if TYPE_CHECKING:
    from collections.abc import Callable

#: Entries of one region: 1,100 entries in 7 regions.
ENTRIES = 157
BOUND = 256
#: Loads that differ by enough that each change is part of a difference.
_LOADS = (2, 40)
_REPEATS = 20
_MICRO = 1e6


class Layout(NamedTuple):
    """Numbers of upstreams and policies; bound 0 shows all upstreams."""

    upstreams: int
    policies: int
    bound: int


class Row(NamedTuple):
    """The costs of one watcher."""

    shown: int
    first_bytes: int
    loads_bytes: int
    loads_us: float
    change_once_us: float
    change_each_us: float


LAYOUTS = (
    Layout(19, 1, 0),
    Layout(19, 1, BOUND),
    Layout(1714, 1, 0),
    Layout(1714, 1, BOUND),
    Layout(1714, 32, 0),
    Layout(1714, 32, BOUND),
)


class WatchedDirectory:
    """The directory with one watcher, without a network."""

    def __init__(self, layout: Layout) -> None:
        """Announce all upstreams as serving; no difference is sent yet."""
        self._layout = layout
        self._sequence = 0
        self.directory = UpstreamDirectory()
        self.pools: Pools = {}
        self.subset = WatcherSubset(
            DirectoryRequest('entry-1', max_upstreams=layout.bound),
        )
        self.view = WatcherView()
        self.last_bytes = 0
        self.announce()

    def announce(self, leaving: int = -1) -> None:
        """Record announcements of all upstreams with a changed load."""
        self._sequence += 1
        for number in range(self._layout.upstreams):
            announcement = structs.replace(
                _BASE,
                upstream=f'u-{number:05}',
                policy=f'policy-{number % self._layout.policies:02}',
                sequence=self._sequence,
                running=_LOADS[self._sequence % 2],
                phase=Phase.LEAVING if number == leaving else Phase.SERVING,
            )
            self.directory.record(announcement, 0)

    def regroup(self) -> None:
        """Group the upstreams into pools, as done once for all watchers."""
        self.pools = group_pools(self.directory.fresh(0), self.pools)

    def choose_names(self) -> tuple[str, ...]:
        """Return the names of the upstreams in the watcher's subset."""
        return self.subset.select(self.pools, ENTRIES)

    def encode_difference(self) -> int:
        """Make and encode the next difference; return its size in bytes."""
        shown = self.directory.select(self.choose_names(), 0)
        self.last_bytes = len(msgpack.encode(self.view.advance(shown, 1)))
        return self.last_bytes


def measure_layout(layout: Layout) -> Row:
    """Measure one layout; times are the minimum over the repeats."""
    watch = WatchedDirectory(layout)
    watch.regroup()
    first = watch.encode_difference()
    shown = len(watch.choose_names())
    encode_us: list[float] = []
    sizes: list[int] = []
    for _ in range(_REPEATS):
        watch.announce()
        encode_us.append(_measure_us(watch.encode_difference))
        sizes.append(watch.last_bytes)
    regroup_us: list[float] = []
    choose_us: list[float] = []
    for leaving in range(min(layout.upstreams, _REPEATS)):
        watch.announce(leaving)
        regroup_us.append(_measure_us(watch.regroup))
        choose_us.append(_measure_us(watch.choose_names))
        watch = WatchedDirectory(layout)
        watch.regroup()
        watch.encode_difference()
    return Row(
        shown,
        first,
        min(sizes),
        min(encode_us),
        min(regroup_us),
        min(choose_us),
    )


def _measure_us(work: Callable[[], object]) -> float:
    started_at = time.perf_counter()
    work()
    return round((time.perf_counter() - started_at) * _MICRO, 1)


_BASE = Announcement(
    upstream='',
    policy='',
    data_center='zrh-1',
    http_address='10.0.0.7:8080',
    grpc_address='10.0.0.7:8081',
    incarnation=1764700000000,
    sequence=0,
)


if __name__ == '__main__':
    rows = [one._asdict() | measure_layout(one)._asdict() for one in LAYOUTS]
    sys.stdout.write(f'{json.dumps(rows, indent=1)}\n')
