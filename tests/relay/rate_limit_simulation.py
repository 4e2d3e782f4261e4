"""Simulates entries under one rate limit, with late and lost reports.

Requests arrive at random entries; an entry whose rate limit has no room diverts
the call. All times are seconds of a simulated clock.
"""

from __future__ import annotations

import heapq
import random
from bisect import bisect_left
from itertools import count

from snipebend.edge.gossip import (
    ENTRY_TIMEOUT_S,
    REPEAT_INTERVAL_S,
    SEND_INTERVAL_S,
)
from snipebend.relay.facts import AnnouncedLimit, ResponseFacts
from snipebend.relay.rate_limit_table import RateLimitTable

#: From the beginning of a call to the head of its response.
RESPONSE_S = 0.02
#: Longest one-way delay between entries.
MAX_DELAY_S = 0.003
LOSS = 0.02
UPSTREAM = 'i-1'


class SimulatedEntry:
    """One entry's rate limits and its last report."""

    def __init__(self, started_at):
        self.rate_limits = RateLimitTable()
        self.started_at = started_at
        self.received_at = {}
        self.last_report = None
        self.reported_at = 0.0
        self.frozen_until = 0.0
        #: Entries communicate with those of the same side only.
        self.side = None


class FleetSimulation:
    """Entries, one upstream, and its limit as a function of time."""

    def __init__(
        self,
        entries,
        limit_at,
        requests_per_s,
        seed=1,
        loss=LOSS,
        repeat_every_s=REPEAT_INTERVAL_S,
    ):
        self.entries = [SimulatedEntry(0.0) for _ in range(entries)]
        self.limit_at = limit_at
        #: When each call reached the upstream, and the number of diverted
        #: calls.
        self.call_times = []
        self.diverted = 0
        self._requests_per_s = requests_per_s
        self._loss = loss
        self._repeat_every_s = repeat_every_s
        self._timeout_s = max(ENTRY_TIMEOUT_S, 2 * repeat_every_s)
        self._rng = random.Random(seed)
        self._order = count()
        self._events = []
        for at in range(entries):
            self._schedule(
                self._rng.random() * SEND_INTERVAL_S, self._report, at
            )
        self._schedule(0.0, self._request)

    def schedule(self, moment, action):
        """Call a function at the given time."""
        heapq.heappush(
            self._events, (moment, next(self._order), lambda _: action(), ())
        )

    def run(self, until):
        while self._events and self._events[0][0] < until:
            moment, _, action, args = heapq.heappop(self._events)
            action(moment, *args)
        return self

    def max_calls_in(self, span_s, after=0.0):
        """Return the most calls within any span of this length."""
        call_times = [at for at in self.call_times if at >= after]
        return max(
            (
                bisect_left(call_times, at + span_s) - position
                for position, at in enumerate(call_times)
            ),
            default=0,
        )

    def count_calls(self, begin, end):
        return sum(begin <= at < end for at in self.call_times)

    def restart(self, number, now):
        self.entries[number] = SimulatedEntry(now)

    def set_load(self, requests_per_s):
        """Set the arrival rate of requests from now on."""
        self._requests_per_s = requests_per_s

    def _schedule(self, moment, action, *args):
        heapq.heappush(self._events, (moment, next(self._order), action, args))

    def _request(self, now):
        self._schedule(
            now + self._rng.expovariate(self._requests_per_s), self._request
        )
        entry = self._rng.choice(self.entries)
        if now < entry.frozen_until:
            return
        if not entry.rate_limits.has_room(UPSTREAM, now):
            self.diverted += 1
            return
        entry.rate_limits.record_call(UPSTREAM, now)
        self.call_times.append(now)
        self._schedule(now + RESPONSE_S, self._respond, entry, now)

    def _respond(self, now, entry, call_started_at):
        per_s = self.limit_at(now)
        limit = None if per_s is None else AnnouncedLimit(per_s)
        facts = ResponseFacts(authenticated=True, limit=limit)
        entry.rate_limits.record_response(UPSTREAM, facts, call_started_at, now)

    def _report(self, now, number):
        self._schedule(now + SEND_INTERVAL_S, self._report, number)
        entry = self.entries[number]
        if now < entry.frozen_until:
            return
        self._update_share(entry, now)
        last_report = entry.rate_limits.make_report(now)
        known = {
            upstream: (report.calls, report.per_s)
            for upstream, report in last_report.items()
        }
        if (
            known == entry.last_report
            and now < entry.reported_at + self._repeat_every_s
        ):
            return
        entry.last_report = known
        entry.reported_at = now
        for receiver in self.entries:
            if receiver is entry or self._rng.random() < self._loss:
                continue
            if entry.side != receiver.side:
                continue
            delay_s = MAX_DELAY_S * self._rng.random()
            self._schedule(
                now + delay_s,
                self._receive,
                receiver,
                number,
                entry,
                last_report,
            )

    def _receive(self, now, receiver, number, entry, last_report):
        if now < receiver.frozen_until:
            self._schedule(
                receiver.frozen_until,
                self._receive,
                receiver,
                number,
                entry,
                last_report,
            )
            return
        receiver.received_at[number] = now
        receiver.rate_limits.apply_report(
            str(number), entry.started_at, last_report, now
        )

    def _update_share(self, entry, now):
        received = sum(
            at > now - self._timeout_s for at in entry.received_at.values()
        )
        entry.rate_limits.share = (received + 1) / len(self.entries)
