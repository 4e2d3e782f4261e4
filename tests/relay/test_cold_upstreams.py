"""Guards against cold upstreams that get more calls than they survive.

The limit is on the calls of all entries together, in any second, also while
entries can't hear each other or control, or have just started without memory.
"""

from __future__ import annotations

import unittest
from itertools import product
from random import Random

from snipebend.relay.cold_parts import (
    ASSUMED_ENTRIES,
    SETTLED_AFTER_S,
    CallPart,
    Fleet,
)
from snipebend.relay.cold_upstreams import DOUBT_S, ColdUpstreams
from snipebend.relay.part_table import MAX_DIVIDED
from snipebend.relay.upstream_selection import select_upstream
from snipebend.relay.upstream_views import CallRequirements
from snipebend.relay.upstreams import UpstreamTable
from snipebend.state.host_updates import GroupPhase, UpstreamGroupStatus
from snipebend.state.roster import UpstreamRecord
from snipebend.state.warmth import Warmth, WarmthReport
from tests.relay.cold_simulation import (
    MAX_SEND_DELAY_S,
    SERVICE,
    ColdSimulation,
    make_upstream,
)

#: Calls a second that the simulated upstream survives while cold.
LIMIT = 44
FLEETS = (1, 17, 300)
SEEDS = (1, 2, 3)
RUN_S = 12.0
#: Until every entry has heard of a change: a heartbeat, and the news of it.
HEARD_WITHIN_S = 2.0
#: Below this share of the limit, calls would be held back for nothing.
MIN_USED_SHARE = 0.4
NOW = 100.0


class TestFleetBound(unittest.TestCase):
    """No second holds more calls than the limit."""

    def check_fleets(self, prepare, until=RUN_S, since=0.0):
        """Run each fleet after ``prepare(fleet)``; check it from ``since``."""
        for entries, seed in product(FLEETS, SEEDS):
            with self.subTest(entries=entries, seed=seed):
                fleet = ColdSimulation(entries, LIMIT, seed)
                prepare(fleet)
                fleet.run(until)
                self.assertLessEqual(fleet.most_in_a_second(since), LIMIT)
                per_s = sum(at > since for at in fleet.arrivals) / until
                self.assertGreater(per_s, 0)

    def test_all_in_touch(self):
        """The limit is kept, and a good part of it is used."""
        self.check_fleets(lambda fleet: None)
        for entries in FLEETS:
            with self.subTest(entries=entries):
                fleet = ColdSimulation(entries, LIMIT, 1)
                fleet.run(RUN_S)
                per_s = len(fleet.arrivals) / RUN_S
                self.assertGreater(per_s, MIN_USED_SHARE * LIMIT)

    def test_half_restarts_while_cut_off(self):
        """These know only each other by name, and control counts them all."""

        def prepare(fleet):
            cut = fleet.cut_half()
            listed = frozenset(entry.name for entry in cut)
            fleet.restart_at(2, cut, listed, len(fleet.entries))

        self.check_fleets(prepare, RUN_S + SETTLED_AFTER_S)

    def test_each_entry_restarts_at_its_own_time_and_again(self):
        def prepare(fleet):
            size = len(fleet.names)
            for entry in fleet.entries:
                at = fleet.rng.uniform(0, 3)
                fleet.restart_at(at, [entry], fleet.names, size)
                again = at + fleet.rng.uniform(1, 4)
                fleet.restart_at(again, [entry], fleet.names, size)

        self.check_fleets(prepare, RUN_S + SETTLED_AFTER_S)

    def test_all_restart_at_once(self):
        """Control lists them one by one, so the first see few others."""

        def prepare(fleet):
            names = sorted(fleet.names)
            for count, entry in enumerate(fleet.entries, 1):
                listed = frozenset(names[:count])
                fleet.restart_at(2, [entry], listed, count)
                fleet.know_at(2 + SETTLED_AFTER_S / 2, entry, fleet.names)

        self.check_fleets(prepare, RUN_S + SETTLED_AFTER_S)

    def test_turns_cold_under_full_load(self):
        """From the time when the entries have heard it, or miss the news."""

        def prepare(fleet):
            fleet.hear_at(0, Warmth.WARM, 1)
            for entry in fleet.entries:
                at = 4 + fleet.rng.uniform(0, HEARD_WITHIN_S)
                news = fleet.rng.choice((Warmth.COLD, Warmth.UNKNOWN))
                fleet.hear_at(at, news, 5, [entry])

        self.check_fleets(prepare, since=4 + HEARD_WITHIN_S)

    def test_entries_that_join(self):
        """Others hear of them before they rely on what they know."""

        def prepare(fleet):
            joining = len(fleet.entries) // 4
            present = fleet.entries[joining:]
            names = frozenset(entry.name for entry in present)
            for entry in present:
                entry.restart(-2 * SETTLED_AFTER_S, names, len(names))
                at = 3 + fleet.rng.uniform(0, HEARD_WITHIN_S)
                fleet.know_at(at, entry, fleet.names)
            for entry in fleet.entries[:joining]:
                entry.restart(2, fleet.names, len(fleet.names))

        self.check_fleets(prepare, RUN_S + SETTLED_AFTER_S)

    def test_calls_before_it_was_cold_count(self):
        """The second in which it turns cold holds those to the warm one."""
        fleet = ColdSimulation(1, LIMIT, 1)
        fleet.hear_at(0, Warmth.WARM, 1)
        fleet.hear_at(4, Warmth.COLD, 2)
        fleet.run(RUN_S)
        before = fleet.arrivals_between(3, 4)
        after = fleet.arrivals_between(4.5, 5)
        self.assertGreater(len(before), LIMIT)
        self.assertEqual(after, [])


class TestCallPart(unittest.TestCase):
    """The rate and the saved calls of one part add up to it."""

    def test_any_window(self):
        for calls in range(1, 60):
            part = CallPart(calls, 1.4)
            most = part.saved_calls + part.per_s * part.window_s
            self.assertEqual(int(most), calls)
            self.assertGreaterEqual(part.saved_calls, 1)
            self.assertGreater(part.per_s, 0)


class TestWarmth(unittest.TestCase):
    """What counts as cold."""

    def setUp(self):
        self.cold = ColdUpstreams(MAX_SEND_DELAY_S)
        self.cold.update_limits({SERVICE: LIMIT})
        self.cold.parts.update_fleet(Fleet('e-1', ('e-2',), 2, is_settled=True))

    def hear(self, warmth, number=0, born=0, daemon='d-1'):
        report = WarmthReport('i-1', warmth, born, number)
        return self.cold.warmth.apply(daemon, (report,))

    def is_cold(self, upstream=None, now=NOW):
        return self.cold.is_cold(upstream or make_upstream(), now)

    def test_unknown_counts_as_cold_where_the_service_has_a_limit(self):
        self.assertTrue(self.is_cold())
        self.cold.update_limits({})
        self.assertFalse(self.is_cold())

    def test_heard_warm_then_silent(self):
        self.hear(Warmth.WARM)
        self.assertFalse(self.is_cold())
        self.hear(Warmth.UNKNOWN)
        self.assertTrue(self.is_cold())

    def test_the_highest_number_wins_whichever_daemon_heard_it(self):
        self.hear(Warmth.COLD, 7, born=5, daemon='d-1')
        self.hear(Warmth.WARM, 6, born=5, daemon='d-2')
        self.assertTrue(self.is_cold())
        self.hear(Warmth.WARM, 8, born=5, daemon='d-2')
        self.assertFalse(self.is_cold())

    def test_without_start_times_cold_wins_between_daemons(self):
        """A later lifetime's numbers may be lower than the former's."""
        self.hear(Warmth.WARM, 50, daemon='d-1')
        self.hear(Warmth.COLD, 1, daemon='d-2')
        self.assertTrue(self.is_cold())
        self.hear(Warmth.WARM, 4, daemon='d-2')
        self.assertFalse(self.is_cold())

    def test_a_lost_daemon_vouches_for_nothing(self):
        self.hear(Warmth.WARM, 6, daemon='d-1')
        self.assertEqual(self.cold.warmth.remove_daemon('d-1'), 1)
        self.assertTrue(self.is_cold())

    def test_a_later_lifetime_is_cold(self):
        self.hear(Warmth.WARM, 6, born=5)
        self.assertFalse(self.is_cold(make_upstream(born=5)))
        self.assertTrue(self.is_cold(make_upstream(born=6)))

    def test_a_late_report_of_the_former_lifetime_changes_nothing(self):
        self.hear(Warmth.COLD, 1, born=6, daemon='d-1')
        self.assertEqual(self.hear(Warmth.WARM, 9, born=5, daemon='d-2'), [])
        self.assertTrue(self.is_cold(make_upstream(born=6)))

    def test_a_later_lifetime_has_no_account_of_the_former(self):
        upstream = make_upstream(born=5)
        while self.cold.has_room(upstream, NOW):
            self.cold.record_call(upstream, NOW)
        self.cold.remove('i-1')
        self.assertTrue(self.cold.has_room(make_upstream(born=6), NOW))

    def test_no_response_is_doubted_until_daemons_would_know(self):
        self.hear(Warmth.WARM)
        self.cold.doubt('i-1', NOW)
        self.assertTrue(self.is_cold())
        self.assertFalse(self.is_cold(now=NOW + DOUBT_S))

    def test_a_data_center_that_is_taken_back(self):
        self.hear(Warmth.WARM)
        self.cold.forget_data_center('dc-a', NOW)
        self.assertTrue(self.is_cold())
        self.assertFalse(self.is_cold(make_upstream(data_center='dc-b')))
        self.assertFalse(self.is_cold(now=NOW + DOUBT_S))

    def test_an_entry_that_has_just_started_waits(self):
        """Its former process may have called the upstream just before."""
        size = 1
        self.cold.update_limits({SERVICE: 10 * ASSUMED_ENTRIES})
        self.cold.parts.update_fleet(Fleet('e-1', (), size, is_settled=False))
        upstream = make_upstream()
        self.assertFalse(self.cold.has_room(upstream, NOW))
        wait_s = self.cold.seconds_until_room(upstream, NOW)
        self.assertGreaterEqual(wait_s, 1 + MAX_SEND_DELAY_S)
        self.assertTrue(self.cold.has_room(upstream, NOW + 1.01 * wait_s))

    def test_a_choice_divides_the_calls_of_some_upstreams_only(self):
        """Of thousands, that would hold up all other requests."""
        upstreams = [make_upstream(f'i-{n}') for n in range(3 * MAX_DIVIDED)]
        for turn, known in enumerate((1, 2, 3, 3), 1):
            now = NOW + turn / 1000
            rooms = sum(self.cold.has_room(one, now) for one in upstreams)
            self.assertEqual(rooms, known * MAX_DIVIDED)

    def test_a_call_that_reached_another_incarnation_is_given_back(self):
        upstream = make_upstream()
        calls = 0
        while self.cold.has_room(upstream, NOW):
            self.cold.record_call(upstream, NOW)
            calls += 1
        self.assertGreater(calls, 1)
        self.assertGreater(self.cold.seconds_until_room(upstream, NOW), 0)
        self.cold.return_call(upstream, NOW)
        self.assertTrue(self.cold.has_room(upstream, NOW))


class TestChoice(unittest.TestCase):
    """Warm upstreams are preferred, and cold ones are used within limits."""

    def setUp(self):
        self.table = UpstreamTable()
        self.table.apply_records(
            UpstreamRecord(name, SERVICE, f'10.0.0.{n}:80', 'dc-a', 4)
            for n, name in enumerate(('warm', 'cold'))
        )
        self.warm = self.table.find('warm')
        self.cold_one = self.table.find('cold')
        self.cold = ColdUpstreams(MAX_SEND_DELAY_S)
        self.cold.update_limits({SERVICE: 4})
        self.cold.parts.update_fleet(Fleet('e-1', ('e-2',), 2, is_settled=True))
        reports = (WarmthReport('warm', Warmth.WARM),)
        self.cold.warmth.apply('d-1', reports)

    def select(self, cold, tried=()):
        requirements = CallRequirements('dc-a', 0, tried, cold=cold)
        candidates = self.table.list_service(SERVICE)
        chosen = select_upstream(candidates, requirements, NOW, Random(1))
        return chosen and chosen.record.identity

    def test_warm_while_it_has_slots(self):
        self.warm.own_calls = 3
        self.assertEqual(self.select(self.cold), 'warm')
        self.assertEqual(self.select(None), 'cold')

    def test_cold_before_a_queue(self):
        self.warm.own_calls = 4
        self.assertEqual(self.select(self.cold), 'cold')

    def test_queue_when_the_cold_one_accepts_no_more(self):
        self.warm.own_calls = 4
        self.cold.record_call(self.cold_one, NOW)
        self.assertEqual(self.select(self.cold), 'warm')
        self.assertIsNone(self.select(self.cold, tried=('warm',)))
        self.assertEqual(self.select(None, tried=('warm',)), 'cold')

    def test_in_a_group_the_fullest_rank_delays_all(self):
        status = UpstreamGroupStatus(
            'g', SERVICE, GroupPhase.OPEN, ('warm', 'cold')
        )
        self.table.apply_group_statuses((status,))
        self.assertEqual(self.select(self.cold), 'warm')
        self.warm.own_calls = 1
        self.assertEqual(self.select(self.cold), 'cold')


if __name__ == '__main__':
    unittest.main()
