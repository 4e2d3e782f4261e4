"""Simulates entries that call one upstream of a service with cold limits.

Every entry calls whenever its account allows, with clocks of its own, and each
call reaches the upstream somewhat later. All times are seconds of a simulated
clock.
"""

from __future__ import annotations

import heapq
import math
import random
from bisect import bisect_right
from functools import partial

from snipebend.relay.cold_parts import SETTLED_AFTER_S, Fleet
from snipebend.relay.cold_upstreams import ColdUpstreams
from snipebend.relay.upstreams import Upstream
from snipebend.state.roster import UpstreamRecord
from snipebend.state.warmth import WarmthReport

SERVICE = 's'
MAX_SEND_DELAY_S = 0.4
#: Attempts to call of each entry, as a multiple of the limit of all.
PRESSURE = 4.0
#: An entry does not serve sooner than this after it ended.
RESTART_S = 0.5
#: Between an entry's start and the first update from control.
FIRST_UPDATE_S = 0.1


def make_upstream(identity='i-1', born=0, data_center='dc-a'):
    record = UpstreamRecord(
        identity, SERVICE, '10.0.0.1:80', data_center, 4, born=born
    )
    return Upstream(record)


class SimulatedEntry:
    """One entry with a clock of its own."""

    def __init__(self, name, rng):
        self.name = name
        self._rng = rng
        self._offset_s = rng.uniform(-1000, 1000)
        self.restart(0, frozenset((name,)), 0)

    def clock(self, now):
        return 2000 + now + self._offset_s

    def restart(self, now, listed, size):
        """Begin without memory; control lists some entries soon."""
        self.cold = ColdUpstreams(MAX_SEND_DELAY_S)
        self._listed = listed - {self.name}
        self._size = size
        self.serves_at = now + RESTART_S
        self._settles_at = now + RESTART_S + FIRST_UPDATE_S + SETTLED_AFTER_S

    def know(self, listed, size):
        """Apply a list of entries; those known before stay known."""
        self._listed |= listed - {self.name}
        self._size = max(self._size, size)

    def settle(self):
        self._settles_at = 0

    def update(self, now, limit):
        self.cold.update_limits({SERVICE: limit})
        settled = now >= self._settles_at
        self.cold.parts.update_fleet(
            Fleet(self.name, self._listed, self._size, settled)
        )

    def hear(self, _, warmth, number):
        report = WarmthReport('i-1', warmth, number=number)
        self.cold.warmth.apply('daemon', (report,))

    def try_call(self, upstream, now):
        """Return whether a call begins."""
        if now < self.serves_at:
            return False
        clock = self.clock(now)
        if self.cold.is_cold(upstream, clock):
            if not self.cold.has_room(upstream, clock):
                return False
        self.cold.record_call(upstream, clock)
        return True


class ColdSimulation:
    """Entries under pressure, and the times at which the upstream got calls."""

    def __init__(self, entries, limit, seed):
        self.rng = random.Random(seed)
        self.limit = limit
        self.upstream = make_upstream()
        names = frozenset(
            f'10.0.{n // 250}.{n % 250}:7' for n in range(entries)
        )
        self.entries = [
            SimulatedEntry(name, self.rng) for name in sorted(names)
        ]
        for entry in self.entries:
            entry.know(names, entries)
            entry.settle()
        self.names = names
        self.arrivals = []
        self._events = []
        self._event_count = 0

    def at(self, time, action):
        """Call ``action(time)`` at a time."""
        self._event_count += 1
        heapq.heappush(self._events, (time, self._event_count, action))

    def run(self, until):
        for entry in self.entries:
            self._schedule_attempt(entry, 0)
        while self._events and self._events[0][0] < until:
            time, _, action = heapq.heappop(self._events)
            action(time)
        self.arrivals.sort()

    def cut_half(self):
        """Return half of the entries, at least one."""
        return self.rng.sample(self.entries, (len(self.entries) + 1) // 2)

    def know_at(self, time, entry, listed):
        self.at(time, lambda now: entry.know(listed, len(listed)))

    def restart_at(self, time, entries, listed, size):
        for entry in entries:
            self.at(time, partial(entry.restart, listed=listed, size=size))

    def hear_at(self, time, warmth, number, entries=None):
        for entry in entries or self.entries:
            self.at(time, partial(entry.hear, warmth=warmth, number=number))

    def arrivals_between(self, begin, end):
        return [at for at in self.arrivals if begin < at <= end]

    def most_in_a_second(self, since=0.0, until=math.inf):
        """Return the most calls that any window of a second held."""
        counted = [at for at in self.arrivals if since <= at <= until]
        return max(
            (
                bisect_right(counted, begin + 1) - index
                for index, begin in enumerate(counted)
            ),
            default=0,
        )

    def _schedule_attempt(self, entry, now):
        per_s = PRESSURE * (1 + self.limit / len(self.entries))
        later = now + self.rng.expovariate(per_s)
        self.at(later, lambda time: self._attempt(entry, time))

    def _attempt(self, entry, now):
        entry.update(now, self.limit)
        if entry.try_call(self.upstream, now):
            delay_s = self.rng.choice(
                (0, self.rng.uniform(0, MAX_SEND_DELAY_S))
            )
            self.arrivals.append(now + delay_s)
        self._schedule_attempt(entry, now)
