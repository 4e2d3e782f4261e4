"""Guards against stale or doubtful heartbeats that hide a cold upstream.

Heartbeats arrive late, out of order, from a former incarnation, or with fields
that can't be read; and what a daemon doesn't hear again no longer holds.
"""

from __future__ import annotations

import math
import unittest

from snipebend.state.warmth import (
    MAX_HEARD,
    MAX_NUMBER,
    SILENT_AFTER_S,
    Warmth,
    WarmthLog,
    read_hearing,
)


class TestHearing(unittest.TestCase):
    """What one heartbeat says."""

    def test_doubtful_fields_count_as_not_stated(self):
        for cold_ms in (None, '0', True, False, [0], -1, math.nan, math.inf):
            with self.subTest(cold_ms=cold_ms):
                self.assertIsNone(read_hearing('i', 5, 3, cold_ms).cold_s)
        for field in (None, '3', True, 1.5, -1, MAX_NUMBER + 1):
            with self.subTest(field=field):
                hearing = read_hearing('i', field, field, 0)
                self.assertEqual((hearing.born, hearing.number), (0, 0))

    def test_milliseconds(self):
        self.assertEqual(read_hearing('i', 5, 3, 1500), ('i', 5, 3, 1.5))
        self.assertEqual(read_hearing('i', 5, 3, 0.0).cold_s, 0)


class TestWarmthLog(unittest.TestCase):
    """What a daemon reports."""

    def setUp(self):
        self.log = WarmthLog()

    def hear(self, cold_s, number=0, born=5, now=0.0, upstream='i'):
        hearing = read_hearing(
            upstream, born, number, None if cold_s is None else 1000 * cold_s
        )
        return self.log.hear(hearing, now)

    def reported(self, since=0):
        reports, _ = self.log.reports_since(since, 100)
        return [(one.upstream, one.warmth, one.born) for one in reports]

    def test_only_changes_are_reported(self):
        self.assertIsNotNone(self.hear(2, 1))
        self.assertIsNone(self.hear(1, 2))
        self.assertIsNotNone(self.hear(0, 3))
        self.assertIsNone(self.hear(0, 4))
        self.assertEqual(self.log.revision, 2)
        self.assertEqual(self.reported(), [('i', Warmth.WARM, 5)])

    def test_cold_again_after_heartbeats_that_others_may_have_heard(self):
        """One of them may report it warm, by a number in between."""
        self.hear(2, 10)
        self.assertIsNone(self.hear(1, 11))
        change = self.hear(2, 21)
        self.assertEqual(change.report.number, 21)
        self.assertEqual(self.log.revision, 2)

    def test_overtaken_heartbeats(self):
        self.hear(2, 5)
        self.hear(1, 7)
        self.assertIsNone(self.hear(0, 6))
        self.assertIsNone(self.hear(0, 7))
        self.assertEqual(self.reported(), [('i', Warmth.COLD, 5)])

    def test_overtaken_heartbeats_are_no_sign_of_life(self):
        self.hear(0, 5)
        self.hear(0, 4, now=SILENT_AFTER_S)
        self.assertEqual(self.log.remove_silent(SILENT_AFTER_S + 0.1), ['i'])

    def test_former_and_later_incarnations(self):
        self.hear(0, 9, born=5)
        self.assertIsNone(self.hear(0, 10, born=4))
        self.hear(0, 1, born=6)
        self.assertEqual(self.reported(), [('i', Warmth.WARM, 6)])

    def test_silent_ones_are_withdrawn_and_come_back(self):
        self.hear(0, 1, now=0, upstream='a')
        self.hear(0, 1, now=2, upstream='b')
        self.assertEqual(self.log.remove_silent(SILENT_AFTER_S), [])
        self.assertEqual(self.log.remove_silent(SILENT_AFTER_S + 0.1), ['a'])
        self.assertEqual(self.reported(2), [('a', Warmth.UNKNOWN, 5)])
        self.assertIsNone(self.hear(0, 1, now=9, upstream='a'))
        self.hear(0, 2, now=9, upstream='a')
        self.assertEqual(self.reported(3), [('a', Warmth.WARM, 5)])

    def test_numbers_that_start_anew_without_a_start_time(self):
        self.hear(0, 50, born=0)
        self.log.remove_silent(SILENT_AFTER_S + 1)
        self.hear(2, 1, born=0, now=SILENT_AFTER_S + 2)
        self.assertEqual(self.reported(), [('i', Warmth.COLD, 0)])

    def test_not_stated_withdraws_what_was_heard(self):
        self.hear(0, 1)
        self.hear(None, 2)
        self.assertEqual(self.reported(), [('i', Warmth.UNKNOWN, 5)])

    def test_a_watcher_gets_all_in_parts(self):
        expected = [f'i-{number}' for number in range(10)]
        for upstream in expected:
            self.hear(0, 1, upstream=upstream)
        seen = []
        revision = 0
        while revision < self.log.revision:
            reports, revision = self.log.reports_since(revision, 3)
            self.assertLessEqual(len(reports), 3)
            seen.extend(one.upstream for one in reports)
        self.assertEqual(seen, expected)

    def test_memory_is_bounded(self):
        for number in range(3 * MAX_HEARD):
            self.hear(0, 1, upstream=f'i-{number}')
            self.log.remove_silent(number / 100)
        self.assertLessEqual(len(self.log), 2 * MAX_HEARD)


if __name__ == '__main__':
    unittest.main()
