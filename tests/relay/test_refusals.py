"""Refusing upstreams, and the load that they attract.

Guards against entries sending most calls to upstreams that refuse: these
respond at once, and seem to be the least loaded.
"""

from __future__ import annotations

import heapq
import random
import unittest
from itertools import count
from unittest import mock

from snipebend.edge.gossip import REPEAT_INTERVAL_S, SEND_INTERVAL_S
from snipebend.edge.relayed_request import MAX_CALLS
from snipebend.relay.refusals import (
    INITIAL_AVOIDANCE_S,
    MAX_AVOIDANCE_S,
    RefusalHistory,
    RefusalReport,
)
from snipebend.relay.upstream_selection import select_upstream
from snipebend.relay.upstream_views import CallRequirements
from snipebend.relay.upstreams import UpstreamTable
from snipebend.state.roster import UpstreamRecord

#: Share of the requests that may be retried.
RETRY_SHARE = 0.2
#: Entries, upstreams, requests per second.
CASES = ((1, 4, 10.0), (5, 16, 40.0), (15, 72, 150.0))
#: Share of the upstreams that refuse all requests from the start.
REFUSING_SHARE = 0.3
SLOTS = 5
#: Seconds of a call that is served, and of upstream that is refused.
SERVED_S = 1.0
REFUSED_S = 0.002
#: Seconds in which entries learn which upstreams refuse, and of a run.
LEARNED_AFTER_S = 3.0
RUN_S = 8.0
LOSS = 0.02


class FleetSimulation:
    """Entries and upstreams of which some refuse, on a simulated clock."""

    def __init__(
        self, entries, upstreams, per_s, *, share=REFUSING_SHARE, seed=1
    ):
        self.rng = random.Random(seed)
        self.per_s = per_s
        refusing = round(share * upstreams)
        self.refusing = {f'i-{number}' for number in range(refusing)}
        self.tables = [UpstreamTable() for _ in range(entries)]
        for table in self.tables:
            table.apply_records(
                UpstreamRecord(f'i-{number}', 's', '10.0.0.1:80', 'dc', SLOTS)
                for number in range(upstreams)
            )
        #: When each request arrived, and when each call was refused.
        self.requests = []
        self.refused = []
        self.events = []
        self.order = count()
        self.last_reports = {}
        self.schedule(0.0, self.request)
        for number in range(entries):
            self.schedule(
                self.rng.random() * SEND_INTERVAL_S, self.report, number
            )

    def schedule(self, moment, action, *args):
        heapq.heappush(self.events, (moment, next(self.order), action, args))

    def run(self, until=RUN_S):
        while self.events and self.events[0][0] < until:
            moment, _, action, args = heapq.heappop(self.events)
            action(moment, *args)
        return self

    def share_refused(self, after=LEARNED_AFTER_S):
        refused = sum(at >= after for at in self.refused)
        return refused / sum(at >= after for at in self.requests)

    def request(self, now):
        self.schedule(now + self.rng.expovariate(self.per_s), self.request)
        self.requests.append(now)
        self.call(now, self.rng.choice(self.tables), ())

    def call(self, now, table, tried):
        members = table.list_service('s')
        requirements = CallRequirements('dc', tried=tried)
        chosen = select_upstream(members, requirements, now, self.rng)
        if chosen is None or len(tried) == MAX_CALLS:
            return
        chosen.own_calls += 1
        refusing = chosen.record.identity in self.refusing
        duration_s = REFUSED_S if refusing else SERVED_S
        self.schedule(now + duration_s, self.finish, table, chosen, now, tried)

    def finish(self, now, table, chosen, call_started_at, tried):
        chosen.own_calls -= 1
        identity = chosen.record.identity
        if identity not in self.refusing:
            chosen.record_response(call_started_at)
            return
        self.refused.append(now)
        chosen.refusals.record_refusal(call_started_at, now)
        self.call(now, table, (*tried, identity))

    def report(self, now, number):
        self.schedule(now + SEND_INTERVAL_S, self.report, number)
        table = self.tables[number]
        refusals = table.report_refusals(now)
        calls = {
            upstream.record.identity: upstream.own_calls for upstream in table
        }
        numbers = {
            name: upstream.consecutive for name, upstream in refusals.items()
        }
        known = (calls, numbers)
        last_reports, reported_at = self.last_reports.get(number, (None, 0))
        if known == last_reports and now < reported_at + REPEAT_INTERVAL_S:
            return
        self.last_reports[number] = (known, now)
        for other in self.tables:
            if other is table or self.rng.random() < LOSS:
                continue
            other.apply_calls(str(number), calls)
            other.apply_refusals(refusals, now)


def _not_avoided(refusals, now):
    return False


def _ignore_reports(table, last_reports, now):
    return []


class TestLoad(unittest.TestCase):
    """Refused calls need fewer retries than the budget allows."""

    def test_refused_calls_stay_within_the_retries(self):
        for entries, upstreams, per_s in CASES:
            with self.subTest(entries=entries):
                fleet = FleetSimulation(entries, upstreams, per_s).run()
                self.assertLess(fleet.share_refused(), RETRY_SHARE)

    def test_upstreams_are_used_again_once_they_serve(self):
        fleet = FleetSimulation(15, 72, 150.0).run()
        refusing = fleet.refusing
        fleet.refusing = set()
        fleet.run(RUN_S + MAX_AVOIDANCE_S + SERVED_S)
        used = {
            upstream.record.identity
            for table in fleet.tables
            for upstream in table
            if upstream.own_calls
        }
        self.assertGreater(len(used & refusing), len(refusing) / 2)

    def test_planted_faults_are_detected(self):
        no_avoidance = mock.patch.object(
            RefusalHistory, 'is_avoided', _not_avoided
        )
        no_reports = mock.patch.object(
            UpstreamTable, 'apply_refusals', _ignore_reports
        )
        for fault in (no_avoidance, no_reports):
            with fault:
                fleet = FleetSimulation(15, 72, 150.0).run()
            self.assertGreater(fleet.share_refused(), RETRY_SHARE)


class TestRefusals(unittest.TestCase):
    """How long a refusing upstream is chosen last, and what ends that."""

    def setUp(self):
        self.refusals = RefusalHistory()

    def test_each_consecutive_refusal_doubles_the_time(self):
        now = 10.0
        span_s = INITIAL_AVOIDANCE_S
        for _ in range(8):
            self.refusals.record_refusal(now, now)
            self.assertTrue(self.refusals.is_avoided(now + 0.99 * span_s))
            self.assertFalse(self.refusals.is_avoided(now + 1.01 * span_s))
            now += span_s
            span_s = min(2 * span_s, MAX_AVOIDANCE_S)

    def test_concurrent_refusals_count_as_one(self):
        for _ in range(5):
            self.refusals.record_refusal(9.9, 10.0)
        self.assertEqual(self.refusals.consecutive, 1)

    def test_earlier_accepted_call_does_not_end_avoidance(self):
        self.refusals.record_refusal(10.0, 10.0)
        self.refusals.record_response(9.0)
        self.assertTrue(self.refusals.is_avoided(10.05))
        self.refusals.record_response(10.01)
        self.assertFalse(self.refusals.is_avoided(10.05))

    def test_reports_count_unless_a_later_call_was_accepted(self):
        self.refusals.apply_report(RefusalReport(4, 0.1), 10.0)
        self.assertTrue(self.refusals.is_avoided(10.0))
        self.assertIsNone(self.refusals.make_report(10.0))
        self.refusals.record_response(10.2)
        self.refusals.apply_report(RefusalReport(4, 0.4), 10.3)
        self.assertFalse(self.refusals.is_avoided(10.3))

    def test_own_refusals_are_reported_until_they_expire(self):
        self.refusals.record_refusal(10.0, 10.0)
        self.assertEqual(self.refusals.make_report(10.05).consecutive, 1)
        self.assertIsNone(self.refusals.make_report(10.0 + INITIAL_AVOIDANCE_S))


if __name__ == '__main__':
    unittest.main()
