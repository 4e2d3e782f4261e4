"""Guards against upstreams that get more calls than they announced to accept.

A limit applies to the calls of all entries together, but each entry receives
the counts of the others late, or not at all if datagrams are lost, entries
freeze or restart, or the network is partitioned. A late or unauthenticated
response must not lift a limit.
"""

from __future__ import annotations

import unittest
from functools import partial
from unittest import mock

from snipebend.relay.facts import AnnouncedLimit, ResponseFacts
from snipebend.relay.rate_limit import MIN_PER_S, RateLimit
from snipebend.relay.rate_limit_table import (
    ENDED_RETENTION_S,
    LimitReport,
    RateLimitTable,
)
from tests.relay.rate_limit_simulation import UPSTREAM, FleetSimulation

#: Seconds of a window in which calls are counted.
WINDOW_S = 4.0
#: From the first response that announces a limit until it is enforced.
ENFORCED_AFTER_S = 0.5
#: A window may hold a tenth more than the limit allows, and five calls: the
#: users' requirement is half more, and five, from 4 s after the first
#: announcement.
TOLERANCE = 1.1
EXTRA_CALLS = 5
#: Entries, and requests per second.
CASES = (
    (1, 0.5),
    (1, 200.0),
    (4, 2.0),
    (4, 200.0),
    (13, 0.5),
    (13, 20.0),
    (36, 2.0),
)
RUN_S = 12.0
#: When an upstream without a limit announces one.
ANNOUNCED_AT = 3


def allowed(per_s):
    return TOLERANCE * WINDOW_S * per_s + EXTRA_CALLS


def steady(per_s):
    return lambda now: per_s


class TestFleetLimit(unittest.TestCase):
    """The rate of calls that an upstream gets from all entries together."""

    def check(self, fleet, per_s, after=ENFORCED_AFTER_S, until=RUN_S):
        fleet.run(until)
        self.assertLessEqual(
            fleet.max_calls_in(WINDOW_S, after), allowed(per_s)
        )

    def test_limit_is_enforced_and_used(self):
        for entries, per_s in CASES:
            with self.subTest(entries=entries, per_s=per_s):
                fleet = FleetSimulation(entries, steady(per_s), 3 * per_s + 5)
                self.check(fleet, per_s)
                least = 0.9 * per_s * (RUN_S - 4) - 1
                self.assertGreaterEqual(fleet.count_calls(4, RUN_S), least)

    def test_three_hundred_entries(self):
        # Fewer repeats than in production: the simulation takes a second so.
        fleet = FleetSimulation(300, steady(2.0), 10.0, repeat_every_s=4.0)
        self.check(fleet, 2.0, until=6.0)

    def test_limit_announced_under_full_load(self):
        """Calls of all entries are in progress when the limit is announced."""

        def limit_at(now):
            return None if now < ANNOUNCED_AT else 2.0

        fleet = FleetSimulation(36, limit_at, 400.0)
        self.check(fleet, 2.0, after=ANNOUNCED_AT + ENFORCED_AFTER_S, until=9.0)

    def test_limit_lowered_raised_and_lifted(self):
        def limit_at(now):
            if now < 5:
                return 40.0
            if now < 15:
                return 4.0
            return 60.0 if now < 25 else None

        fleet = FleetSimulation(13, limit_at, 100.0).run(32)
        calls_at_low_limit = fleet.count_calls(5 + ENFORCED_AFTER_S, 15)
        self.assertLess(calls_at_low_limit, 1.1 * 4.0 * 9.5 + EXTRA_CALLS)
        self.assertGreater(fleet.count_calls(18, 25), 0.9 * 60 * 7)
        self.assertGreater(fleet.count_calls(27, 32), 0.9 * 100 * 5)

    def test_limit_of_zero_is_probed(self):
        fleet = FleetSimulation(
            13, lambda now: 0.0 if now < 12 else None, 50.0
        ).run(24)
        self.assertLessEqual(
            fleet.count_calls(ENFORCED_AFTER_S, 12),
            12 * MIN_PER_S + EXTRA_CALLS,
        )
        self.assertGreater(fleet.count_calls(20, 24), 150)

    def test_lost_and_late_reports(self):
        fleet = FleetSimulation(13, steady(5.0), 40.0, loss=0.3)
        self.check(fleet, 5.0)

    def test_restarting_entry(self):
        fleet = FleetSimulation(13, steady(5.0), 40.0)
        for moment in (4.0, 6.0, 8.0):
            fleet.schedule(moment, partial(fleet.restart, 3, moment))
        self.check(fleet, 5.0)

    def test_frozen_entries(self):
        fleet = FleetSimulation(13, steady(5.0), 40.0)

        def freeze():
            for entry in fleet.entries[:6]:
                entry.frozen_until = 9.0

        fleet.schedule(5.0, freeze)
        self.check(fleet, 5.0)

    def test_partitioned_halves(self):
        """Each side uses its part, after one second to detect the partition."""
        fleet = FleetSimulation(12, steady(20.0), 120.0)

        def cut():
            for entry in fleet.entries[:6]:
                entry.side = 'a'

        fleet.schedule(4.0, cut)
        fleet.run(RUN_S)
        self.assertLessEqual(fleet.max_calls_in(WINDOW_S, 5.5), allowed(20.0))
        self.assertGreater(fleet.count_calls(6, RUN_S), 0.8 * 20 * (RUN_S - 6))

    def test_planted_faults_are_detected(self):
        """Without deducting others' calls or bounding the balance, it fails."""
        with mock.patch.object(RateLimit, 'apply_call_count'):
            fleet = FleetSimulation(4, steady(20.0), 120.0).run(RUN_S)
        self.assertGreater(
            fleet.max_calls_in(WINDOW_S, ENFORCED_AFTER_S), allowed(20.0)
        )
        with mock.patch('snipebend.relay.rate_limit.MAX_SAVED_CALLS', 1000):
            fleet = FleetSimulation(4, steady(20.0), 2.0)
            fleet.schedule(8.0, lambda: fleet.set_load(400.0))
            fleet.run(RUN_S)
        self.assertGreater(
            fleet.max_calls_in(WINDOW_S, ENFORCED_AFTER_S), allowed(20.0)
        )


class TestRateLimitTable(unittest.TestCase):
    """Notices of a limit that are applied, ignored or reported."""

    def setUp(self):
        self.table = RateLimitTable()

    def respond(self, per_s, now, call_started_at=None, **facts):
        limit = None if per_s is None else AnnouncedLimit(per_s)
        begun = now if call_started_at is None else call_started_at
        return self.table.record_response(
            UPSTREAM,
            ResponseFacts(limit=limit, **{'authenticated': True, **facts}),
            begun,
            now,
        )

    def test_change_is_returned_once(self):
        self.assertEqual(self.respond(3.0, 1.0).per_s, 3.0)
        self.assertIsNone(self.respond(3.0, 2.0))
        self.assertEqual(self.respond(4.0, 3.0).per_s, 4.0)
        self.assertIsNone(self.respond(None, 4.0).per_s)
        self.assertFalse(self.table)

    def test_response_to_earlier_call_does_not_lift_limit(self):
        self.respond(3.0, 5.0)
        self.assertIsNone(self.respond(None, 6.0, call_started_at=4.0))
        self.assertTrue(self.table)

    def test_unauthenticated_response_does_not_lift_limit(self):
        self.respond(3.0, 5.0)
        self.assertIsNone(self.respond(None, 7.0, authenticated=False))
        self.assertTrue(self.table)

    def test_other_incarnation_is_ignored(self):
        self.assertIsNone(self.respond(3.0, 5.0, identity_mismatch=True))
        self.assertFalse(self.table)

    def test_unreadable_limit_changes_nothing(self):
        unreadable = ResponseFacts(
            limit=AnnouncedLimit(None), authenticated=True
        )
        self.table.record_response(UPSTREAM, unreadable, 1.0, 1.0)
        self.assertFalse(self.table)
        self.respond(3.0, 2.0)
        self.table.record_response(UPSTREAM, unreadable, 3.0, 3.0)
        self.assertTrue(self.table)

    def test_latest_notice_counts_whichever_entry_received_it(self):
        self.respond(3.0, 10.0)
        older = {UPSTREAM: LimitReport(0, 2.0, 9.0)}
        self.assertEqual(self.table.apply_report('e2', 0.0, older, 10.5), [])
        newer = {UPSTREAM: LimitReport(0, 0.1, 9.0)}
        change = self.table.apply_report('e2', 0.0, newer, 10.5)[0]
        self.assertEqual((change.per_s, change.entry), (9.0, 'e2'))
        lifted = {UPSTREAM: LimitReport(0, 0.1)}
        change = self.table.apply_report('e2', 0.0, lifted, 10.7)[0]
        self.assertIsNone(change.per_s)

    def test_notice_of_another_entry_is_not_reported(self):
        self.table.apply_report(
            'e2', 0.0, {UPSTREAM: LimitReport(0, 0.1, 9.0)}, 1.0
        )
        self.assertIsNone(self.table.make_report(1.0)[UPSTREAM].age_s)

    def test_lifted_limit_is_reported_for_a_while(self):
        self.respond(3.0, 1.0)
        self.respond(None, 2.0)
        self.assertIn(UPSTREAM, self.table.make_report(3.0))
        self.assertEqual(self.table.make_report(60.0), {})

    def test_removed_upstream_is_not_reported(self):
        self.respond(3.0, 1.0)
        self.table.remove(UPSTREAM, 0)
        self.assertEqual(self.table.make_report(1.0), {})

    def test_late_notices_of_a_former_incarnation_change_nothing(self):
        self.respond(3.0, 1.0)
        self.table.remove(UPSTREAM, 2.0)
        late = {UPSTREAM: LimitReport(9, 1.5, 3.0)}
        self.assertEqual(self.table.apply_report('e2', 0.0, late, 3.0), [])
        self.assertFalse(self.table)
        new = {UPSTREAM: LimitReport(9, 0.5, 3.0)}
        self.assertEqual(len(self.table.apply_report('e2', 0.0, new, 3.0)), 1)

    def test_ends_are_forgotten(self):
        for number in range(100):
            self.table.remove(f'i-{number}', float(number))
        self.assertLessEqual(len(self.table._ended_at), ENDED_RETENTION_S + 1)

    def test_wait_for_room(self):
        self.respond(2.0, 1.0)
        self.assertAlmostEqual(
            self.table.seconds_until_room(UPSTREAM, 1.0), 0.5
        )
        self.assertEqual(self.table.seconds_until_room(UPSTREAM, 2.0), 0)


if __name__ == '__main__':
    unittest.main()
