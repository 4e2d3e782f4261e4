"""Guards against orders that time out although the link still delivers them.

Large orders to many ranks share one link, so the last ones arrive late. A
timeout that ignores their size and the replies to other orders ends calls that
make progress. The limit on bytes in flight must not delay small, urgent orders
or stay filled by an order that gets no reply.
"""

from __future__ import annotations

import unittest

from snipebend.orders.flow import (
    MAX_REPLY_TIMEOUT_S,
    MIN_LINK_RATE,
    REPLY_TIMEOUT_S,
    SMALL_BYTES,
    WINDOW_BYTES,
    OrderFlow,
)

LARGE = WINDOW_BYTES // 4


class TestWindow(unittest.TestCase):
    """The window of bytes, for which urgent orders do not wait."""

    def setUp(self):
        """Fill the window."""
        self.flow = OrderFlow()
        self.numbers = [self.flow.begin(LARGE, 10.0) for _ in range(4)]

    def test_window_limits_large_orders(self):
        self.assertFalse(self.flow.can_send(LARGE))
        self.flow.end(self.numbers[0])
        self.assertTrue(self.flow.can_send(LARGE))

    def test_small_order_is_sent_at_once(self):
        self.assertTrue(self.flow.can_send(SMALL_BYTES))

    def test_order_larger_than_the_window_is_sent_alone(self):
        self.assertTrue(OrderFlow().can_send(2 * WINDOW_BYTES))

    def test_unanswered_order_does_not_block_others(self):
        """The link has delivered all orders sent before an answered one."""
        self.flow.record_reply(self.numbers[1], 10.1)
        self.assertTrue(self.flow.can_send(2 * LARGE))
        self.assertFalse(self.flow.can_send(3 * LARGE))


class TestTimeout(unittest.TestCase):
    """The timeout is extended by other replies, up to a limit."""

    def test_timeout_grows_with_size(self):
        flow = OrderFlow()
        number = flow.begin(MIN_LINK_RATE // 10, 10.0)
        self.assertAlmostEqual(flow.expires_at(number), 10.1 + REPLY_TIMEOUT_S)

    def test_reply_to_earlier_order_extends_timeout(self):
        flow = OrderFlow()
        earlier, later = (flow.begin(0, 10.0) for _ in range(2))
        flow.record_reply(earlier, 10.1)
        self.assertAlmostEqual(flow.expires_at(later), 10.1 + REPLY_TIMEOUT_S)

    def test_no_extension_after_reply_to_later_order(self):
        flow = OrderFlow()
        unresponsive, *others = (flow.begin(0, 10.0) for _ in range(3))
        for number, at in zip(others, (10.1, 10.2), strict=True):
            flow.record_reply(number, at)
        self.assertAlmostEqual(
            flow.expires_at(unresponsive), 10.1 + REPLY_TIMEOUT_S
        )

    def test_timeout_is_capped(self):
        flow = OrderFlow()
        number = flow.begin(MIN_LINK_RATE, 10.0)
        self.assertAlmostEqual(
            flow.expires_at(number), 10.0 + MAX_REPLY_TIMEOUT_S
        )


if __name__ == '__main__':
    unittest.main()
