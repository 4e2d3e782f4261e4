"""Demand told from one rank's counts."""

from __future__ import annotations

import random
import unittest

from snipebend.experts.direct_orders import RankCounts, RankReport
from snipebend.experts.group_monitor import (
    URGENT_SAVING,
    GroupMonitor,
    MapProposal,
)
from snipebend.experts.sizes import ExpertSizes, first_map

SIZES = ExpertSizes(2, 64, 5, 2, 0.85, 0.1)
REPORT = RankReport('i', 'g', 3, 0, 16, is_open=True, step=10, map_version=0)


class Counter:
    """One rank's growing counts."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.step = 10
        self.counts = [0 for _ in range(128)]
        self.turn()

    def turn(self):
        self.weights = [1 / (place + 1) ** 1.1 for place in range(64)]
        self.rng.shuffle(self.weights)

    def span(self, choices=3000):
        for layer in range(2):
            for expert in self.rng.choices(range(64), self.weights, k=choices):
                self.counts[64 * layer + expert] += 1
        self.step += 5
        return RankCounts(3, self.step, tuple(self.counts))


class TestGroupWatch(unittest.TestCase):
    """When a better map is proposed."""

    def setUp(self):
        self.counter = Counter(1)
        self.monitor = GroupMonitor(SIZES, REPORT)
        self.now = 5.0
        self.layers = first_map(SIZES, 16)

    def feed(self, spans=1, choices=3000, *, is_new=False):
        for _ in range(spans):
            self.now += 0.3
            read = {0: self.counter.span(choices)}
            self.monitor.end_span(read, self.now, is_new=is_new)

    def test_nothing_before_two_readings(self):
        self.feed()
        self.assertEqual(
            self.monitor.propose_map(self.layers).reason, 'turning'
        )
        self.feed()
        outlook = self.monitor.propose_map(self.layers)
        self.assertGreater(outlook.skew_before, 3)
        self.assertLess(outlook.skew_after, 1.4)
        self.assertGreater(outlook.loads, 0)
        self.assertLessEqual(outlook.max_fetches, 3)

    def test_a_good_map_stays(self):
        self.feed(3)
        better = self.monitor.propose_map(self.layers).layers
        self.feed(5)
        self.assertEqual(self.monitor.propose_map(better).reason, 'saving')

    def test_a_small_gain_waits_while_passes_are_short(self):
        # With a small share of the work, experts gain less for a pass.
        small = SIZES._replace(share=0.2)
        hasty = self._seen(small._replace(pause_s=0.05))
        calm = self._seen(small._replace(pause_s=0.2))
        urgent = self._seen(SIZES._replace(pause_s=0.2))
        self.assertLess(hasty.propose_map(self.layers).saving, URGENT_SAVING)
        self.assertEqual(calm.propose_map(self.layers).reason, 'calm')
        self.assertGreater(
            urgent.propose_map(self.layers).saving, URGENT_SAVING
        )

    def test_a_span_with_a_turn_in_it_tells_nothing(self):
        self.feed(4)
        self.assertFalse(self.monitor.turning)
        self.counter.turn()
        self.feed()
        self.assertTrue(self.monitor.turning)
        self.assertEqual(
            self.monitor.propose_map(self.layers).reason, 'turning'
        )
        self.feed()
        self.assertFalse(self.monitor.turning)
        self.assertIsInstance(
            self.monitor.propose_map(self.layers), MapProposal
        )

    def test_a_span_after_a_turn_tells_the_new_demand(self):
        self.feed(4)
        self.counter.turn()
        self.now += 0.3
        self.monitor.begin_span({0: self.counter.span()}, self.now)
        self.feed(is_new=True)
        self.assertFalse(self.monitor.turning)
        outlook = self.monitor.propose_map(self.layers)
        self.assertLess(outlook.skew_after, 1.4)

    def test_short_spans_are_passed_over(self):
        self.feed()
        self.feed(3, choices=100)
        self.assertEqual(
            self.monitor.propose_map(self.layers).reason, 'turning'
        )

    def test_short_spans_add_up_until_they_tell(self):
        """One rank of 72 makes a few dozen choices between two glances."""
        self.feed(4)
        self.counter.turn()
        turned_after = 0
        while not self.monitor.turning and turned_after < 20:
            self.feed(choices=100)
            turned_after += 1
        self.assertEqual(turned_after, 6)

    def test_a_span_that_tells_nothing_says_so(self):
        self.feed(2)
        self.assertTrue(self.monitor.demand.told)
        self.feed(choices=100)
        self.assertFalse(self.monitor.demand.told)
        self.feed(choices=600)
        self.assertTrue(self.monitor.demand.told)

    def test_another_epoch_counts_nothing(self):
        self.feed()
        late = self.counter.span()._replace(epoch=2)
        self.monitor.end_span({0: late}, self.now, is_new=False)
        self.assertEqual(
            self.monitor.propose_map(self.layers).reason, 'turning'
        )

    def test_the_pace_of_passes(self):
        self.feed(2)
        self.assertEqual(self.monitor.pass_timing.step, 20)
        self.assertAlmostEqual(self.monitor.pass_timing.pass_s, 0.06)

    def test_what_entries_tell_of_passes_goes_first(self):
        self.feed(2)
        self.monitor.reported_pass_s = 0.11
        self.assertAlmostEqual(self.monitor.pass_timing.pass_s, 0.11)

    def test_a_small_gain_waits_until_passes_are_measured(self):
        monitor = self._seen(SIZES._replace(share=0.2, pause_s=0.05))
        monitor.reset_pass_timing()
        self.assertEqual(monitor.propose_map(self.layers).reason, 'calm')

    def test_several_ranks_tell_together(self):
        """Fewer choices of each will do."""
        self.feed(4)
        self.counter.turn()
        self.feed()
        counters = [Counter(1), Counter(1), Counter(1)]
        for other in counters:
            other.weights = self.counter.weights
        self.read_all(counters)
        self.assertTrue(self.monitor.turning)
        self.read_all(counters)
        self.assertFalse(self.monitor.turning)
        self.assertLess(self.monitor.propose_map(self.layers).skew_after, 1.4)

    def test_old_readings_of_other_ranks_are_dropped(self):
        """They would hold demand from before a turn."""
        counters = [Counter(1), Counter(1)]
        self.read_all(counters)
        self.feed(4)
        for other in counters:
            other.turn()
        self.read_all(counters)
        self.assertFalse(self.monitor.turning)

    def read_all(self, counters):
        read = {rank: one.span(250) for rank, one in enumerate(counters, 4)}
        self.monitor.end_span(read, self.now, is_new=False)

    def _seen(self, sizes):
        """Return a watch that has seen passes of 60 ms."""
        monitor = GroupMonitor(sizes, REPORT)
        counter = Counter(4)
        for span in range(3):
            read = {0: counter.span()}
            monitor.end_span(read, 0.3 * span, is_new=False)
        return monitor

    def test_first_map_has_experts_in_turn(self):
        self.assertEqual(self.layers[0][2], (2, 18, 34, 50))
        self.assertEqual(len(self.layers), SIZES.layers)
