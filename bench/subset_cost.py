"""What a watcher of the directory costs with and without its subset.

Run by hand: ``python -m bench.subset_cost`` prints JSON, a row a layout: bytes
of the first difference and of one in which every load changed (a watcher gets
at most one of these a second), microseconds to make that one, and what it
costs when one upstream leaves: once for all watchers and for each of them.
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

#: Entries of one region: 1,100 of 7.
ENTRIES = 157
BOUND = 256
#: Loads far enough apart that each change is told.
_LOADS = (2, 40)
_REPEATS = 20
_MICRO = 1e6


class Layout(NamedTuple):
    """How many upstreams there are, in how many policies; bound 0: all."""

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


class Watch:
    """The directory and one watcher of it, without a network."""

    def __init__(self, layout: Layout) -> None:
        """Begin with all upstreams in service and nothing told."""
        self._layout = layout
        self._sequence = 0
        self.directory = UpstreamDirectory()
        self.pools: Pools = {}
        self.subset = WatcherSubset(
            DirectoryRequest('entry-1', max_upstreams=layout.bound),
        )
        self.view = WatcherView()
        self.told = 0
        self.announce()

    def announce(self, leaving: int = -1) -> None:
        """Let every upstream announce itself with another load."""
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

    def group(self) -> None:
        """Do what is done once for all watchers."""
        self.pools = group_pools(self.directory.fresh(0), self.pools)

    def choose(self) -> tuple[str, ...]:
        """Return the names that the watcher is shown."""
        return self.subset.select(self.pools, ENTRIES)

    def tell(self) -> int:
        """Make the next difference as it is sent; return its bytes."""
        shown = self.directory.select(self.choose(), 0)
        self.told = len(msgpack.encode(self.view.advance(shown, 1)))
        return self.told


def measure_layout(layout: Layout) -> Row:
    """Measure one layout; times are the best of the repeats."""
    watch = Watch(layout)
    watch.group()
    first = watch.tell()
    shown = len(watch.choose())
    told: list[float] = []
    sizes: list[int] = []
    for _ in range(_REPEATS):
        watch.announce()
        told.append(_time(watch.tell))
        sizes.append(watch.told)
    once: list[float] = []
    each: list[float] = []
    for leaving in range(min(layout.upstreams, _REPEATS)):
        watch.announce(leaving)
        once.append(_time(watch.group))
        each.append(_time(watch.choose))
        watch = Watch(layout)
        watch.group()
        watch.tell()
    return Row(shown, first, min(sizes), min(told), min(once), min(each))


def _time(work: Callable[[], object]) -> float:
    began_at = time.perf_counter()
    work()
    return round((time.perf_counter() - began_at) * _MICRO, 1)


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
