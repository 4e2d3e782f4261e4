"""A stand-in engine must refuse wrong orders and report late and with gaps.

An order with a stale fence arrives after a newer one, or an order activates a
map that was not prepared. If the reports were always current and complete, no
test would show how their readers handle delays and gaps.
"""

from __future__ import annotations

import unittest
from random import Random

from msgspec import Raw
from result import Result

from snipebend.standin.expert_load import ExpertLoadCounter
from snipebend.standin.orders import Order, OrderExecutor, RankState
from snipebend.standin.prefix_cache import CacheChange
from snipebend.standin.reports import CacheFeed, LoadHistory, LoadReport
from snipebend.standin.settings import EngineConfig
from snipebend.standin.step_clock import StepClock


def execute_order(executor: OrderExecutor, order: Order) -> Result:
    return executor.execute(order, Raw(b'{}'), 0)


class OrderExecutorTest(unittest.TestCase):
    """Fences, and the switch of an expert map at its step."""

    def test_stale_fence_is_refused_only_if_checked(self) -> None:
        for check_fence in (True, False):
            with self.subTest(check_fence=check_fence):
                executor = OrderExecutor(check_fence=check_fence)
                execute_order(executor, Order('load', 'g', 7))
                stale = execute_order(executor, Order('load', 'g', 6))
                self.assertEqual(stale.is_err(), check_fence)
                self.assertTrue(
                    execute_order(executor, Order('load', 'g', 7)).is_ok()
                )
                self.assertTrue(
                    execute_order(executor, Order('load', 'other', 1)).is_ok()
                )
                self.assertEqual(len(executor.executed), 4 - check_fence)

    def test_map_changes_at_its_step_and_only_if_prepared(self) -> None:
        executor = OrderExecutor(check_fence=True)
        activate = Order('expert-map', 'g', 1, 'activate', 4, 2, 30)
        self.assertTrue(execute_order(executor, activate).is_err())
        execute_order(executor, Order('expert-map', 'g', 1, 'prepare', 4, 2))
        self.assertTrue(execute_order(executor, activate).is_ok())
        self.assertEqual(executor.rank_state(29), RankState(0, 0, 29))
        self.assertEqual(executor.rank_state(30), RankState(4, 2, 30))

    def test_holds_until_the_prepared_map_is_decided(self) -> None:
        executor = OrderExecutor(check_fence=True)
        execute_order(
            executor, Order('expert-map', 'g', 1, 'prepare', 1, 1, 30)
        )
        execute_order(
            executor, Order('expert-map', 'g', 1, 'prepare', 2, 1, 40)
        )
        execute_order(executor, Order('expert-map', 'g', 1, 'abort', 1, 1))
        self.assertEqual(executor.hold_step, 40)
        execute_order(
            executor, Order('expert-map', 'g', 1, 'activate', 2, 1, 40)
        )
        self.assertIsNone(executor.hold_step)
        execute_order(executor, Order('expert-map', 'g', 1, 'prepare', 3, 1, 0))
        self.assertIsNone(executor.hold_step, 'the step has passed')
        now = 0.0
        clock = StepClock(lambda: now, 1)
        now = 5.5
        clock.hold_at(8)
        now = 20.5
        self.assertEqual((clock.step, clock.is_held), (7, True))
        clock.hold_at(None)
        self.assertEqual((clock.step, clock.is_held), (7, False))


class ReportsTest(unittest.TestCase):
    """Delayed load reports, and cache events with a delay and gaps."""

    def test_load_is_reported_after_the_lag(self) -> None:
        reports = [LoadReport(n, 0, 0, 8, n, float(n)) for n in range(5)]
        history = LoadHistory(reports[0], lag_s=2)
        for report in reports[1:]:
            history.add(report)
        running = [
            history.delayed_report(now).running for now in (4, 5, 5.5, 9)
        ]
        self.assertEqual(running, [2, 3, 3, 4])

    def test_cache_events_are_delayed_and_have_gaps(self) -> None:
        feed = CacheFeed(Random(1), lag_s=1, gap_rate=0.25)
        for now in range(100):
            feed.add(CacheChange('stored', str(now)), now)
        seqs = [event.seq for event in feed.events_after(0, 50)]
        self.assertEqual(seqs, sorted(set(seqs)))
        self.assertLess(len(seqs), seqs[-1])
        self.assertLessEqual(seqs[-1], 50)
        tail = [event.seq for event in feed.events_after(seqs[-1], 200)]
        self.assertGreater(tail[0], seqs[-1])
        self.assertEqual(feed.seq, 100)


class ExpertLoadCounterTest(unittest.TestCase):
    """Counts of tokens per expert, equal for equal steps."""

    def test_counts_are_complete_seeded_and_drift(self) -> None:
        cfg = EngineConfig(layers=3, experts=8)
        loads = []
        for _ in range(2):
            counter = ExpertLoadCounter(cfg)
            counter.add_tokens(100)
            loads.append(counter.collect(5))
        self.assertEqual(loads[0], loads[1])
        self.assertEqual([sum(row) for row in loads[0].counts], [200, 200, 200])
        self.assertEqual(sum(map(sum, counter.collect(6).counts)), 0)
        drift = counter.compute_popularity(
            cfg.drift_steps
        ) - counter.compute_popularity(0)
        self.assertGreater(abs(drift).max(), 0.05)
