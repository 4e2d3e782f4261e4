"""Tests of orders, late reports and the expert loads."""

from __future__ import annotations

import unittest
from random import Random

from msgspec import Raw
from result import Result

from snipebend.standin.expert_load import ExpertMeter
from snipebend.standin.orders import Order, OrderDesk, RankState
from snipebend.standin.prefix_cache import CacheChange
from snipebend.standin.reports import CacheFeed, LoadHistory, LoadReport
from snipebend.standin.settings import EngineConfig
from snipebend.standin.step_clock import StepClock


def give(desk: OrderDesk, order: Order) -> Result:
    return desk.execute(order, Raw(b'{}'), 0)


class OrderDeskTest(unittest.TestCase):
    def test_fence(self) -> None:
        for check_fence in (True, False):
            with self.subTest(check_fence=check_fence):
                desk = OrderDesk(check_fence=check_fence)
                give(desk, Order('load', 'g', 7))
                stale = give(desk, Order('load', 'g', 6))
                self.assertEqual(stale.is_err(), check_fence)
                self.assertTrue(give(desk, Order('load', 'g', 7)).is_ok())
                self.assertTrue(give(desk, Order('load', 'other', 1)).is_ok())
                self.assertEqual(len(desk.executed), 4 - check_fence)

    def test_map_changes_at_its_step_and_only_when_prepared(self) -> None:
        desk = OrderDesk(check_fence=True)
        activate = Order('expert-map', 'g', 1, 'activate', 4, 2, 30)
        self.assertTrue(give(desk, activate).is_err())
        give(desk, Order('expert-map', 'g', 1, 'prepare', 4, 2))
        self.assertTrue(give(desk, activate).is_ok())
        self.assertEqual(desk.rank_state(29), RankState(0, 0, 29))
        self.assertEqual(desk.rank_state(30), RankState(4, 2, 30))

    def test_hold_until_the_decision_on_that_map(self) -> None:
        desk = OrderDesk(check_fence=True)
        give(desk, Order('expert-map', 'g', 1, 'prepare', 1, 1, 30))
        give(desk, Order('expert-map', 'g', 1, 'prepare', 2, 1, 40))
        give(desk, Order('expert-map', 'g', 1, 'abort', 1, 1))
        self.assertEqual(desk.hold_step, 40)
        give(desk, Order('expert-map', 'g', 1, 'activate', 2, 1, 40))
        self.assertIsNone(desk.hold_step)
        give(desk, Order('expert-map', 'g', 1, 'prepare', 3, 1, 0))
        self.assertIsNone(desk.hold_step, 'the step has passed')
        now = 0.0
        clock = StepClock(lambda: now, 1)
        now = 5.5
        clock.hold_at(8)
        now = 20.5
        self.assertEqual((clock.step, clock.held), (7, True))
        clock.hold_at(None)
        self.assertEqual((clock.step, clock.held), (7, False))


class ReportsTest(unittest.TestCase):
    def test_load_is_late(self) -> None:
        reports = [LoadReport(n, 0, 0, 8, n, float(n)) for n in range(5)]
        history = LoadHistory(reports[0], lag_s=2)
        for report in reports[1:]:
            history.add(report)
        seen = [history.visible(now).running for now in (4, 5, 5.5, 9)]
        self.assertEqual(seen, [2, 3, 3, 4])

    def test_cache_events_are_late_and_have_gaps(self) -> None:
        feed = CacheFeed(Random(1), lag_s=1, gap_rate=0.25)
        for now in range(100):
            feed.add(CacheChange('stored', str(now)), now)
        seqs = [event.seq for event in feed.after(0, 50)]
        self.assertEqual(seqs, sorted(set(seqs)))
        self.assertLess(len(seqs), seqs[-1])
        self.assertLessEqual(seqs[-1], 50)
        tail = [event.seq for event in feed.after(seqs[-1], 200)]
        self.assertGreater(tail[0], seqs[-1])
        self.assertEqual(feed.seq, 100)


class ExpertMeterTest(unittest.TestCase):
    def test_counts_are_complete_seeded_and_drift(self) -> None:
        cfg = EngineConfig(layers=3, experts=8)
        loads = []
        for _ in range(2):
            meter = ExpertMeter(cfg)
            meter.add_tokens(100)
            loads.append(meter.take(5))
        self.assertEqual(loads[0], loads[1])
        self.assertEqual([sum(row) for row in loads[0].counts], [200, 200, 200])
        self.assertEqual(sum(map(sum, meter.take(6).counts)), 0)
        drift = meter.popularity(cfg.drift_steps) - meter.popularity(0)
        self.assertGreater(abs(drift).max(), 0.05)
