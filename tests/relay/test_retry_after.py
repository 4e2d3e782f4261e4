"""Callers must not be told to retry too early, too late or all at once.

Callers retry once or twice. A retry that is too early meets the same outage,
and one that is too late exceeds the caller's timeout. If all callers wait
equally long, their retries arrive together.
"""

from __future__ import annotations

import unittest

from snipebend.relay.retry_after import (
    BUSY_MAX_S,
    OUTAGE_MAX_S,
    OUTAGE_MAX_SHARE,
    busy_retry_after_s,
    outage_retry_after_s,
)


class TestRetryAfter(unittest.TestCase):
    """Waits within a third of the caller's time left, with jitter."""

    def test_busy(self):
        self.assertLess(busy_retry_after_s(0), busy_retry_after_s(0.9))
        self.assertLessEqual(busy_retry_after_s(0.999), BUSY_MAX_S)

    def test_outage(self):
        for left_s in (0.3, 1.0, 8.0):
            with self.subTest(left_s=left_s):
                waits = [
                    outage_retry_after_s(left_s, sample / 10)
                    for sample in range(10)
                ]
                self.assertEqual(waits, sorted(waits))
                self.assertLessEqual(waits[-1], OUTAGE_MAX_SHARE * left_s)
                self.assertLessEqual(waits[-1], OUTAGE_MAX_S)

    def test_no_time_left(self):
        self.assertEqual(outage_retry_after_s(-1, 0.5), 0)
