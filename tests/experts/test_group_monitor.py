"""Prevents maps that are planned for a demand that does not exist.

An interval between two readings can contain a demand shift, too few selections,
or counts of another epoch. A map planned from it would suit neither the old nor
the new demand. Changes that save little are also deferred while passes are
short.
"""

from __future__ import annotations

import random
import unittest

from snipebend.experts.direct_orders import RankCounts, RankReport
from snipebend.experts.group_monitor import (
    URGENT_SAVING,
    GroupMonitor,
    MapProposal,
)
from snipebend.experts.sizes import ExpertSizes, initial_map

SIZES = ExpertSizes(2, 64, 5, 2, 0.85, 0.1)
REPORT = RankReport('i', 'g', 3, 0, 16, is_open=True, step=10, map_version=0)


class Counter:
    """The cumulative counts of one rank."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.step = 10
        self.counts = [0 for _ in range(128)]
        self.shift_demand()

    def shift_demand(self):
        self.weights = [1 / (place + 1) ** 1.1 for place in range(64)]
        self.rng.shuffle(self.weights)

    def next_counts(self, selections=3000):
        for layer in range(2):
            for expert in self.rng.choices(
                range(64), self.weights, k=selections
            ):
                self.counts[64 * layer + expert] += 1
        self.step += 5
        return RankCounts(3, self.step, tuple(self.counts))


class TestGroupMonitor(unittest.TestCase):
    """Conditions under which a better map is proposed."""

    def setUp(self):
        self.counter = Counter(1)
        self.monitor = GroupMonitor(SIZES, REPORT)
        self.now = 5.0
        self.layers = initial_map(SIZES, 16)

    def feed(self, spans=1, selections=3000, *, is_unmixed=False):
        for _ in range(spans):
            self.now += 0.3
            read = {0: self.counter.next_counts(selections)}
            self.monitor.end_interval(read, self.now, is_unmixed=is_unmixed)

    def test_no_proposal_before_two_readings(self):
        self.feed()
        self.assertEqual(
            self.monitor.propose_map(self.layers).reason, 'turning'
        )
        self.feed()
        proposal = self.monitor.propose_map(self.layers)
        self.assertGreater(proposal.skew_before, 3)
        self.assertLess(proposal.skew_after, 1.4)
        self.assertGreater(proposal.fetches, 0)
        self.assertLessEqual(proposal.max_fetches, 3)

    def test_good_map_is_kept(self):
        self.feed(3)
        better = self.monitor.propose_map(self.layers).layers
        self.feed(5)
        self.assertEqual(self.monitor.propose_map(better).reason, 'saving')

    def test_small_saving_is_deferred_while_passes_are_short(self):
        # If experts are a small share of the work, a better map saves less.
        small = SIZES._replace(work_share=0.2)
        long_passes = self._monitor_with_passes(
            small._replace(max_pause_s=0.05)
        )
        short_passes = self._monitor_with_passes(
            small._replace(max_pause_s=0.2)
        )
        large_saving = self._monitor_with_passes(
            SIZES._replace(max_pause_s=0.2)
        )
        self.assertLess(
            long_passes.propose_map(self.layers).saving, URGENT_SAVING
        )
        self.assertEqual(short_passes.propose_map(self.layers).reason, 'calm')
        self.assertGreater(
            large_saving.propose_map(self.layers).saving, URGENT_SAVING
        )

    def test_interval_with_demand_shift_is_discarded(self):
        self.feed(4)
        self.assertFalse(self.monitor.is_demand_unknown)
        self.counter.shift_demand()
        self.feed()
        self.assertTrue(self.monitor.is_demand_unknown)
        self.assertEqual(
            self.monitor.propose_map(self.layers).reason, 'turning'
        )
        self.feed()
        self.assertFalse(self.monitor.is_demand_unknown)
        self.assertIsInstance(
            self.monitor.propose_map(self.layers), MapProposal
        )

    def test_interval_after_demand_shift_gives_new_demand(self):
        self.feed(4)
        self.counter.shift_demand()
        self.now += 0.3
        self.monitor.begin_interval({0: self.counter.next_counts()}, self.now)
        self.feed(is_unmixed=True)
        self.assertFalse(self.monitor.is_demand_unknown)
        proposal = self.monitor.propose_map(self.layers)
        self.assertLess(proposal.skew_after, 1.4)

    def test_short_intervals_give_no_demand(self):
        self.feed()
        self.feed(3, selections=100)
        self.assertEqual(
            self.monitor.propose_map(self.layers).reason, 'turning'
        )

    def test_short_intervals_accumulate(self):
        """One rank of 72 makes a few dozen selections between two readings."""
        self.feed(4)
        self.counter.shift_demand()
        intervals = 0
        while not self.monitor.is_demand_unknown and intervals < 20:
            self.feed(selections=100)
            intervals += 1
        self.assertEqual(intervals, 6)

    def test_insufficient_interval_is_flagged(self):
        self.feed(2)
        self.assertTrue(self.monitor.demand.is_conclusive)
        self.feed(selections=100)
        self.assertFalse(self.monitor.demand.is_conclusive)
        self.feed(selections=600)
        self.assertTrue(self.monitor.demand.is_conclusive)

    def test_counts_of_another_epoch_are_ignored(self):
        self.feed()
        late = self.counter.next_counts()._replace(epoch=2)
        self.monitor.end_interval({0: late}, self.now, is_unmixed=False)
        self.assertEqual(
            self.monitor.propose_map(self.layers).reason, 'turning'
        )

    def test_pass_duration(self):
        self.feed(2)
        self.assertEqual(self.monitor.pass_timing.step, 20)
        self.assertAlmostEqual(self.monitor.pass_timing.pass_s, 0.06)

    def test_reported_pass_duration_has_precedence(self):
        self.feed(2)
        self.monitor.reported_pass_s = 0.11
        self.assertAlmostEqual(self.monitor.pass_timing.pass_s, 0.11)

    def test_small_saving_is_deferred_until_passes_are_measured(self):
        monitor = self._monitor_with_passes(
            SIZES._replace(work_share=0.2, max_pause_s=0.05)
        )
        monitor.reset_pass_timing()
        self.assertEqual(monitor.propose_map(self.layers).reason, 'calm')

    def test_counts_of_several_ranks_are_combined(self):
        """Fewer selections per rank are sufficient."""
        self.feed(4)
        self.counter.shift_demand()
        self.feed()
        counters = [Counter(1), Counter(1), Counter(1)]
        for other in counters:
            other.weights = self.counter.weights
        self.read_all(counters)
        self.assertTrue(self.monitor.is_demand_unknown)
        self.read_all(counters)
        self.assertFalse(self.monitor.is_demand_unknown)
        self.assertLess(self.monitor.propose_map(self.layers).skew_after, 1.4)

    def test_old_readings_of_other_ranks_are_dropped(self):
        """They would contain demand from before a shift."""
        counters = [Counter(1), Counter(1)]
        self.read_all(counters)
        self.feed(4)
        for other in counters:
            other.shift_demand()
        self.read_all(counters)
        self.assertFalse(self.monitor.is_demand_unknown)

    def read_all(self, counters):
        read = {
            rank: one.next_counts(250) for rank, one in enumerate(counters, 4)
        }
        self.monitor.end_interval(read, self.now, is_unmixed=False)

    def _monitor_with_passes(self, sizes):
        """Return a monitor that has measured passes of 60 ms."""
        monitor = GroupMonitor(sizes, REPORT)
        counter = Counter(4)
        for span in range(3):
            read = {0: counter.next_counts()}
            monitor.end_interval(read, 0.3 * span, is_unmixed=False)
        return monitor

    def test_first_map_is_round_robin(self):
        self.assertEqual(self.layers[0][2], (2, 18, 34, 50))
        self.assertEqual(len(self.layers), SIZES.layers)
