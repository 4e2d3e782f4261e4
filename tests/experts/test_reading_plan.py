"""Counts are read when a better map would help somebody."""

from __future__ import annotations

import unittest

from snipebend.experts.group_pass_times import SAMPLE_TTL_S, GroupPassTimes
from snipebend.experts.reading_plan import (
    AGAIN_S,
    BLIND_EVERY_S,
    CALM_SHARE,
    GLANCE_EVERY_S,
    LONGER,
    MOST_SPAN_S,
    REFINE_S,
    SPAN_S,
    Reading,
    ReadingPlan,
)

ALLOWED_S = 0.12
CALM_S = 0.9 * CALM_SHARE * ALLOWED_S
LONG_S = 1.5 * CALM_SHARE * ALLOWED_S


class TestReadingPlan(unittest.TestCase):
    """What passes say decides."""

    def setUp(self):
        self.plan = ReadingPlan(ALLOWED_S)
        self.now = 7.0

    def reads(self, pass_s, after_s=0.0):
        self.now += after_s
        return self.plan.next_reading(self.now, pass_s)

    def test_nothing_while_streams_are_on_time(self):
        for _ in range(100):
            self.assertIs(self.reads(CALM_S, 0.1), Reading.NOTHING)

    def test_long_passes_begin_a_span(self):
        self.assertIs(self.reads(LONG_S), Reading.BEGIN)
        self.plan.note_begun(self.now)
        self.assertIs(self.reads(LONG_S), Reading.NOTHING)
        self.assertIs(self.reads(LONG_S, SPAN_S), Reading.END)
        self.assertTrue(self.plan.is_new)

    def test_passes_that_lengthen_after_a_change_tell_of_a_turn(self):
        """The span after a change would hold some of both demands."""
        self.plan.note_changed(self.now)
        for pass_s in (2 * LONG_S, LONG_S, LONG_S):
            self.assertIs(self.reads(pass_s, 0.1), Reading.NOTHING)
        self.assertIs(self.reads(1.1 * LONGER * LONG_S, 0.1), Reading.BEGIN)
        self.plan.note_begun(self.now)
        self.assertTrue(self.plan.is_new)

    def test_passes_that_shorten_after_a_change_are_refined(self):
        self.plan.note_changed(self.now)
        self.assertIs(self.reads(2 * LONG_S, 0.1), Reading.NOTHING)
        self.assertIs(self.reads(LONG_S, REFINE_S), Reading.END)
        self.assertFalse(self.plan.is_new)

    def test_a_span_with_few_choices_is_drawn_out(self):
        self.plan.note_begun(self.now)
        waits_s = []
        for _ in range(5):
            self.plan.note_short(self.now)
            began_at = self.now
            while self.reads(LONG_S, 0.01) is Reading.NOTHING:
                self.assertTrue(self.plan.spans)
            waits_s.append(round(self.now - began_at, 1))
        self.assertEqual(waits_s, [0.3, 0.6, MOST_SPAN_S] + 2 * [MOST_SPAN_S])
        self.plan.note_begun(self.now)
        self.assertIs(self.reads(LONG_S, SPAN_S), Reading.END)

    def test_a_look_that_changed_nothing_is_not_repeated_at_once(self):
        self.plan.note_kept(self.now, LONG_S)
        self.assertIs(self.reads(1.1 * LONG_S, 0.1), Reading.NOTHING)
        self.assertIs(self.reads(1.1 * LONGER * LONG_S), Reading.BEGIN)

    def test_one_rank_is_glanced_at_while_passes_stay_long(self):
        """In a burst they are, whatever the demand is."""
        self.plan.note_kept(self.now, LONG_S)
        self.assertIs(self.reads(LONG_S, GLANCE_EVERY_S), Reading.GLANCE)
        self.plan.note_glanced(self.now)
        self.assertIs(self.reads(LONG_S), Reading.NOTHING)
        self.assertIs(self.reads(CALM_S, GLANCE_EVERY_S), Reading.NOTHING)
        self.assertIs(self.reads(LONG_S), Reading.GLANCE)

    def test_a_map_that_was_kept_is_looked_at_again_within_a_bound(self):
        """Whatever one rank tells, and however long passes were then."""
        self.plan.note_kept(self.now, 3 * LONG_S)
        kept_at = self.now
        while self.reads(3 * LONG_S, 0.05) is not Reading.BEGIN:
            self.plan.note_glanced(self.now)
            self.assertLess(self.now, kept_at + AGAIN_S + 0.1)
        self.plan.note_kept(self.now, 3 * LONG_S)
        self.assertIs(self.reads(CALM_S, 2 * AGAIN_S), Reading.NOTHING)

    def test_the_same_counts_are_read_again_after_a_change(self):
        self.plan.note_changed(self.now)
        self.assertIs(self.reads(LONG_S, REFINE_S / 2), Reading.NOTHING)
        self.assertIs(self.reads(LONG_S, REFINE_S), Reading.END)
        # Demand may have turned within so long a span.
        self.assertFalse(self.plan.is_new)

    def test_not_after_a_change_that_made_passes_short(self):
        self.plan.note_changed(self.now)
        self.assertIs(self.reads(CALM_S, REFINE_S), Reading.NOTHING)
        self.assertIs(self.reads(LONG_S), Reading.BEGIN)

    def test_now_and_then_while_nobody_tells_of_passes(self):
        self.assertIs(self.reads(None), Reading.BEGIN)
        self.plan.note_kept(self.now, None)
        self.assertIs(self.reads(None), Reading.NOTHING)
        self.assertIs(self.reads(None, BLIND_EVERY_S), Reading.BEGIN)

    def test_a_reading_that_failed_is_repeated_later(self):
        self.plan.note_begun(self.now)
        self.plan.note_failed(self.now)
        self.assertIs(self.reads(LONG_S), Reading.NOTHING)
        self.assertIs(self.reads(LONG_S, BLIND_EVERY_S), Reading.BEGIN)


class TestGroupPaces(unittest.TestCase):
    """What several entries tell, of the last moments."""

    def test_entries_count_by_their_events(self):
        paces = GroupPassTimes()
        paces.record('g', 3, 0.3, 1.0)
        paces.record('g', 1, 0.5, 1.1)
        paces.record('h', 1, 9.0, 1.1)
        self.assertAlmostEqual(paces.mean_pass_s('g', 1.1), 0.2)

    def test_what_is_old_counts_no_more(self):
        paces = GroupPassTimes()
        paces.record('g', 2, 0.1, 1.0)
        paces.record('g', 1, 0.2, 1.2)
        self.assertAlmostEqual(paces.mean_pass_s('g', 1.1 + SAMPLE_TTL_S), 0.2)
        self.assertIsNone(paces.mean_pass_s('g', 1.3 + SAMPLE_TTL_S))
        self.assertIsNone(paces.mean_pass_s('unknown', 1.0))

    def test_noise_is_passed_over(self):
        paces = GroupPassTimes()
        paces.record('g', 0, 1.0, 1.0)
        paces.record('g', 1, -1.0, 1.0)
        self.assertIsNone(paces.mean_pass_s('g', 1.0))
