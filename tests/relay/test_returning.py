"""When refused callers come back."""

from __future__ import annotations

import unittest

from snipebend.relay.returning import (
    FULL_MOST_S,
    OUT_MOST_S,
    OUT_MOST_SHARE,
    when_full,
    when_out,
)


class TestReturning(unittest.TestCase):
    """Within a third of the caller's time, spread."""

    def test_places(self):
        self.assertLess(when_full(0), when_full(0.9))
        self.assertLessEqual(when_full(0.999), FULL_MOST_S)

    def test_outages(self):
        for left_s in (0.3, 1.0, 8.0):
            with self.subTest(left_s=left_s):
                waits = [when_out(left_s, draw / 10) for draw in range(10)]
                self.assertEqual(waits, sorted(waits))
                self.assertLessEqual(waits[-1], OUT_MOST_SHARE * left_s)
                self.assertLessEqual(waits[-1], OUT_MOST_S)

    def test_no_time_left(self):
        self.assertEqual(when_out(-1, 0.5), 0)
