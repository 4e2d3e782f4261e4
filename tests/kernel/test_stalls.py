"""Guards against decisions on messages that have waited during a stall."""

from __future__ import annotations

import unittest

from snipebend.kernel.stalls import (
    SETTLING_S,
    STALL_S,
    TICK_S,
    StallDetector,
)


class TestStallDetector(unittest.TestCase):
    """A stall is noticed at once, also before the next tick."""

    def setUp(self):
        self.detector = StallDetector(10.0)

    def test_regular_ticks_are_no_stall(self):
        for number in range(20):
            now = 10.0 + number * TICK_S
            self.detector.tick(now)
            self.assertFalse(self.detector.has_stalled(now + TICK_S / 2))

    def test_a_short_pause_is_no_stall(self):
        self.assertFalse(self.detector.has_stalled(10.0 + STALL_S))

    def test_a_stall_is_seen_before_the_next_tick(self):
        self.assertTrue(self.detector.has_stalled(10.0 + STALL_S + 0.01))

    def test_messages_are_old_until_the_sockets_are_read(self):
        self.detector.tick(15.0)
        self.assertTrue(self.detector.has_stalled(15.0 + SETTLING_S / 2))
        self.assertFalse(self.detector.has_stalled(15.0 + SETTLING_S))


if __name__ == '__main__':
    unittest.main()
