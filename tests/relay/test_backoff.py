"""Backoffs requested by upstreams, under load on a simulated clock.

Guards against calls during a backoff. Two planted faults cause such calls: a
response to an earlier call clears the backoff, or a shorter one replaces it.
"""

from __future__ import annotations

import random
import unittest
from unittest import mock

from snipebend.relay.upstream_selection import (
    earliest_backoff_end,
    select_upstream,
)
from snipebend.relay.upstream_views import CallRequirements
from snipebend.relay.upstreams import Upstream, UpstreamTable
from snipebend.state.roster import RosterPhase, UpstreamRecord

SEEDS = range(50)
UPSTREAMS = 8
CALLS = 400
#: Mean seconds between two calls.
CALL_INTERVAL_S = 0.02
#: Longest seconds from a call to its response.
MAX_RESPONSE_S = 0.3
MAX_BACKOFF_S = 3.0
#: Share of the calls that are refused, most of them with a backoff.
REFUSED_SHARE = 0.3
SLOTS = 4


def record(identity, phase=RosterPhase.READY):
    address = '10.0.0.1:80'
    return UpstreamRecord(identity, 's', address, 'dc-a', SLOTS, phase)


class Simulation:
    """Calls of one entry; responses arrive in any order."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.table = UpstreamTable()
        self.table.apply_records(
            record(f'i-{number}') for number in range(UPSTREAMS)
        )
        #: When each upstream's longest backoff ends, as tracked by the test.
        self.backoffs = {}
        #: Calls that began during a backoff.
        self.unwanted = []
        self.responses = []

    def run(self):
        now = 0.0
        for _ in range(CALLS):
            now += self.rng.expovariate(1 / CALL_INTERVAL_S)
            self.responses.sort()
            while self.responses and self.responses[0][0] <= now:
                self.respond(*self.responses.pop(0))
            self.call(now)
        return self

    def call(self, now):
        members = self.table.list_service('s')
        chosen = select_upstream(
            members, CallRequirements('dc-a'), now, self.rng
        )
        if chosen is None:
            return
        identity = chosen.record.identity
        if now < self.backoffs.get(identity, 0):
            self.unwanted.append((now, identity))
        chosen.own_calls += 1
        responded_at = now + self.rng.random() * MAX_RESPONSE_S
        self.responses.append((responded_at, identity, self.rng.random()))

    def respond(self, now, identity, sample):
        upstream = self.table.find(identity)
        upstream.own_calls -= 1
        if sample >= REFUSED_SHARE:
            upstream.record_response(now - MAX_RESPONSE_S)
            return
        backoff_s = self.rng.choice((0, 0.1, MAX_BACKOFF_S))
        self.backoffs[identity] = max(
            self.backoffs.get(identity, 0), now + backoff_s
        )
        upstream.record_backoff(now + backoff_s)
        # A record of the same incarnation does not change its backoff.
        self.table.apply_records([record(identity)])


class TestUnderLoad(unittest.TestCase):
    """No call begins during a backoff."""

    def test_no_calls_during_a_backoff(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = Simulation(seed).run()
                self.assertEqual(simulation.unwanted, [])
                self.assertGreater(len(simulation.backoffs), UPSTREAMS / 2)

    def test_planted_faults_are_detected(self):
        def forget(self, call_started_at):
            self.failures = 0
            self.backoff_until = 0

        def shorten(self, until):
            self.backoff_until = until

        for name, fault in (
            ('record_response', forget),
            ('record_backoff', shorten),
        ):
            with mock.patch.object(Upstream, name, fault):
                found = sum(
                    len(Simulation(seed).run().unwanted) for seed in SEEDS
                )
            with self.subTest(fault=name):
                self.assertGreater(found, 0)


class TestEarliestBackoffEnd(unittest.TestCase):
    """When callers may retry a service whose upstreams are backing off."""

    def test_earliest_of_all_available_upstreams(self):
        backoffs = [
            Upstream(record('a'), backoff_until=12.0),
            Upstream(record('b'), backoff_until=11.0),
            Upstream(record('c', RosterPhase.LEAVING), backoff_until=10.5),
            Upstream(record('d'), backoff_until=10.6, displaced=True),
        ]
        self.assertEqual(earliest_backoff_end(backoffs, 10.0), 11.0)

    def test_none_if_one_is_open_or_none_backs_off(self):
        backing_off = Upstream(record('a'), backoff_until=12.0)
        self.assertIsNone(
            earliest_backoff_end([backing_off, Upstream(record('b'))], 10.0)
        )
        self.assertIsNone(earliest_backoff_end([], 10.0))
        self.assertIsNone(earliest_backoff_end([backing_off], 12.0))


if __name__ == '__main__':
    unittest.main()
