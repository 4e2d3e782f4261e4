"""Guards against readings of counts that are too frequent, or miss a shift.

Each reading pauses the group, and is useless while streams are on time. A span
that contains a shift or a change of the map can mix two demands, and a span
with few choices does not show the demand. After a check that kept the map, a
shift can go unnoticed because passes were long before it, too.
"""

from __future__ import annotations

import unittest

from snipebend.experts.group_pass_times import SAMPLE_TTL_S, GroupPassTimes
from snipebend.experts.reading_plan import (
    MAX_SPAN_S,
    NO_REPORT_INTERVAL_S,
    ON_TIME_PAUSE_SHARE,
    RECHECK_AFTER_S,
    REFINE_AFTER_S,
    SHIFT_GROWTH,
    SPAN_S,
    SPOT_CHECK_INTERVAL_S,
    Reading,
    ReadingPlan,
)

MAX_PAUSE_S = 0.12
ON_TIME_S = 0.9 * ON_TIME_PAUSE_SHARE * MAX_PAUSE_S
LONG_S = 1.5 * ON_TIME_PAUSE_SHARE * MAX_PAUSE_S


class TestReadingPlan(unittest.TestCase):
    """Selects the next reading by pass times and earlier readings."""

    def setUp(self):
        self.plan = ReadingPlan(MAX_PAUSE_S)
        self.now = 7.0

    def read_next(self, pass_s, after_s=0.0):
        self.now += after_s
        return self.plan.next_reading(self.now, pass_s)

    def test_no_reading_while_streams_are_on_time(self):
        for _ in range(100):
            self.assertIs(self.read_next(ON_TIME_S, 0.1), Reading.NOTHING)

    def test_long_passes_begin_a_span(self):
        self.assertIs(self.read_next(LONG_S), Reading.BEGIN)
        self.plan.note_begun(self.now)
        self.assertIs(self.read_next(LONG_S), Reading.NOTHING)
        self.assertIs(self.read_next(LONG_S, SPAN_S), Reading.END)
        self.assertTrue(self.plan.is_unmixed)

    def test_passes_that_lengthen_after_a_change_indicate_a_shift(self):
        """The span after the change would be a mix of both demands."""
        self.plan.note_changed(self.now)
        for pass_s in (2 * LONG_S, LONG_S, LONG_S):
            self.assertIs(self.read_next(pass_s, 0.1), Reading.NOTHING)
        self.assertIs(
            self.read_next(1.1 * SHIFT_GROWTH * LONG_S, 0.1), Reading.BEGIN
        )
        self.plan.note_begun(self.now)
        self.assertTrue(self.plan.is_unmixed)

    def test_a_span_continues_while_passes_shorten_after_a_change(self):
        self.plan.note_changed(self.now)
        self.assertIs(self.read_next(2 * LONG_S, 0.1), Reading.NOTHING)
        self.assertIs(self.read_next(LONG_S, REFINE_AFTER_S), Reading.END)
        self.assertFalse(self.plan.is_unmixed)

    def test_a_span_with_few_choices_is_extended(self):
        self.plan.note_begun(self.now)
        waits_s = []
        for _ in range(5):
            self.plan.note_inconclusive(self.now)
            began_at = self.now
            while self.read_next(LONG_S, 0.01) is Reading.NOTHING:
                self.assertTrue(self.plan.is_counting)
            waits_s.append(round(self.now - began_at, 1))
        self.assertEqual(waits_s, [0.3, 0.6, MAX_SPAN_S] + 2 * [MAX_SPAN_S])
        self.plan.note_begun(self.now)
        self.assertIs(self.read_next(LONG_S, SPAN_S), Reading.END)

    def test_a_check_that_kept_the_map_is_not_repeated_at_once(self):
        self.plan.note_kept(self.now, LONG_S)
        self.assertIs(self.read_next(1.1 * LONG_S, 0.1), Reading.NOTHING)
        self.assertIs(
            self.read_next(1.1 * SHIFT_GROWTH * LONG_S), Reading.BEGIN
        )

    def test_one_rank_is_spot_checked_while_passes_stay_long(self):
        """In a burst passes stay long whether or not demand has shifted."""
        self.plan.note_kept(self.now, LONG_S)
        self.assertIs(
            self.read_next(LONG_S, SPOT_CHECK_INTERVAL_S), Reading.SPOT_CHECK
        )
        self.plan.note_spot_check(self.now)
        self.assertIs(self.read_next(LONG_S), Reading.NOTHING)
        self.assertIs(
            self.read_next(ON_TIME_S, SPOT_CHECK_INTERVAL_S), Reading.NOTHING
        )
        self.assertIs(self.read_next(LONG_S), Reading.SPOT_CHECK)

    def test_a_kept_map_is_checked_again_in_bounded_time(self):
        """Regardless of spot checks, and of how long passes were before."""
        self.plan.note_kept(self.now, 3 * LONG_S)
        kept_at = self.now
        while self.read_next(3 * LONG_S, 0.05) is not Reading.BEGIN:
            self.plan.note_spot_check(self.now)
            self.assertLess(self.now, kept_at + RECHECK_AFTER_S + 0.1)
        self.plan.note_kept(self.now, 3 * LONG_S)
        self.assertIs(
            self.read_next(ON_TIME_S, 2 * RECHECK_AFTER_S), Reading.NOTHING
        )

    def test_the_same_counts_are_read_again_after_a_change(self):
        self.plan.note_changed(self.now)
        self.assertIs(
            self.read_next(LONG_S, REFINE_AFTER_S / 2), Reading.NOTHING
        )
        self.assertIs(self.read_next(LONG_S, REFINE_AFTER_S), Reading.END)
        # Demand may have shifted within so long a span.
        self.assertFalse(self.plan.is_unmixed)

    def test_no_reading_after_a_change_that_made_passes_short(self):
        self.plan.note_changed(self.now)
        self.assertIs(
            self.read_next(ON_TIME_S, REFINE_AFTER_S), Reading.NOTHING
        )
        self.assertIs(self.read_next(LONG_S), Reading.BEGIN)

    def test_periodic_readings_without_reported_pass_times(self):
        self.assertIs(self.read_next(None), Reading.BEGIN)
        self.plan.note_kept(self.now, None)
        self.assertIs(self.read_next(None), Reading.NOTHING)
        self.assertIs(self.read_next(None, NO_REPORT_INTERVAL_S), Reading.BEGIN)

    def test_a_reading_that_failed_is_repeated_later(self):
        self.plan.note_begun(self.now)
        self.plan.note_failed(self.now)
        self.assertIs(self.read_next(LONG_S), Reading.NOTHING)
        self.assertIs(
            self.read_next(LONG_S, NO_REPORT_INTERVAL_S), Reading.BEGIN
        )


class TestGroupPaces(unittest.TestCase):
    """Pass times that several entries reported recently."""

    def test_entries_are_weighted_by_their_events(self):
        pass_times = GroupPassTimes()
        pass_times.record('g', 3, 0.3, 1.0)
        pass_times.record('g', 1, 0.5, 1.1)
        pass_times.record('h', 1, 9.0, 1.1)
        self.assertAlmostEqual(pass_times.mean_pass_s('g', 1.1), 0.2)

    def test_old_reports_are_ignored(self):
        pass_times = GroupPassTimes()
        pass_times.record('g', 2, 0.1, 1.0)
        pass_times.record('g', 1, 0.2, 1.2)
        self.assertAlmostEqual(
            pass_times.mean_pass_s('g', 1.1 + SAMPLE_TTL_S), 0.2
        )
        self.assertIsNone(pass_times.mean_pass_s('g', 1.3 + SAMPLE_TTL_S))
        self.assertIsNone(pass_times.mean_pass_s('unknown', 1.0))

    def test_invalid_reports_are_ignored(self):
        pass_times = GroupPassTimes()
        pass_times.record('g', 0, 1.0, 1.0)
        pass_times.record('g', 1, -1.0, 1.0)
        self.assertIsNone(pass_times.mean_pass_s('g', 1.0))
