"""How many orders are under way, and how long their answers are awaited."""

from __future__ import annotations

import unittest

from snipebend.orders.flow import (
    REPLY_TIMEOUT_S,
    MIN_LINK_RATE,
    MAX_REPLY_TIMEOUT_S,
    SMALL_BYTES,
    WINDOW_BYTES,
    OrderFlow,
)

LARGE = WINDOW_BYTES // 4


class TestRoom(unittest.TestCase):
    """A window of bytes, that urgent orders don't wait for."""

    def setUp(self):
        """Fill the window."""
        self.flow = OrderFlow()
        self.numbers = [self.flow.begin(LARGE, 10.0) for _ in range(4)]

    def test_the_window_bounds_what_is_large(self):
        self.assertFalse(self.flow.has_room(LARGE))
        self.flow.end(self.numbers[0])
        self.assertTrue(self.flow.has_room(LARGE))

    def test_what_is_small_goes_out_at_once(self):
        self.assertTrue(self.flow.has_room(SMALL_BYTES))

    def test_one_that_is_larger_than_the_window_goes_alone(self):
        self.assertTrue(OrderFlow().has_room(2 * WINDOW_BYTES))

    def test_one_that_is_silent_blocks_no_others(self):
        """The link has carried what was sent before an answered order."""
        self.flow.record_reply(self.numbers[1], 10.1)
        self.assertTrue(self.flow.has_room(2 * LARGE))
        self.assertFalse(self.flow.has_room(3 * LARGE))


class TestPatience(unittest.TestCase):
    """An answer is awaited as long as others come in, and not for ever."""

    def test_by_its_bytes(self):
        flow = OrderFlow()
        number = flow.begin(MIN_LINK_RATE // 10, 10.0)
        self.assertAlmostEqual(flow.expires_at(number), 10.1 + REPLY_TIMEOUT_S)

    def test_anew_with_each_answer_to_an_earlier_order(self):
        flow = OrderFlow()
        earlier, later = (flow.begin(0, 10.0) for _ in range(2))
        flow.record_reply(earlier, 10.1)
        self.assertAlmostEqual(flow.expires_at(later), 10.1 + REPLY_TIMEOUT_S)

    def test_not_anew_once_a_later_order_was_answered(self):
        flow = OrderFlow()
        silent, *others = (flow.begin(0, 10.0) for _ in range(3))
        for number, at in zip(others, (10.1, 10.2), strict=True):
            flow.record_reply(number, at)
        self.assertAlmostEqual(flow.expires_at(silent), 10.1 + REPLY_TIMEOUT_S)

    def test_never_longer_than_reports_take(self):
        flow = OrderFlow()
        number = flow.begin(MIN_LINK_RATE, 10.0)
        self.assertAlmostEqual(
            flow.expires_at(number), 10.0 + MAX_REPLY_TIMEOUT_S
        )


if __name__ == '__main__':
    unittest.main()
