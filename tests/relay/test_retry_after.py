"""When refused callers should retry."""

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
    """Within a third of the caller's timeout, with jitter."""

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
