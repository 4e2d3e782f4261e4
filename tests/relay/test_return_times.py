"""Refused callers must not come back all at once, nor too late to be served."""

from __future__ import annotations

import unittest

from snipebend.relay.return_times import (
    MAX_WAIT_S,
    MAX_WAIT_SHARE,
    MIN_WAIT_S,
    ReturnTimes,
)

NOW = 5.0
LEFT_S = 8.0


class TestReturnTimes(unittest.TestCase):
    """Callers come back at the rate at which places are spare."""

    def test_one_after_the_other(self):
        returns = ReturnTimes()
        waits = [returns.refuse(NOW, LEFT_S, 5.0) for _ in range(8)]
        self.assertAlmostEqual(waits[0], MIN_WAIT_S)
        for earlier, later in zip(waits[:-1], waits[1:], strict=True):
            self.assertAlmostEqual(later - earlier, 0.2)

    def test_never_after_most_of_their_time(self):
        returns = ReturnTimes()
        waits = [returns.refuse(NOW, LEFT_S, 5.0) for _ in range(90)]
        self.assertEqual(max(waits), min(MAX_WAIT_S, MAX_WAIT_SHARE * LEFT_S))
        self.assertAlmostEqual(returns.refuse(NOW, 1.0, 5.0), MAX_WAIT_SHARE)

    def test_latest_where_nothing_is_spare(self):
        wait_s = ReturnTimes().refuse(NOW, LEFT_S, 0)
        self.assertEqual(wait_s, min(MAX_WAIT_S, MAX_WAIT_SHARE * LEFT_S))

    def test_schedule_is_used_up_by_time(self):
        returns = ReturnTimes()
        for _ in range(5):
            returns.refuse(NOW, LEFT_S, 5.0)
        self.assertAlmostEqual(returns.refuse(NOW + 2, LEFT_S, 5.0), MIN_WAIT_S)


if __name__ == '__main__':
    unittest.main()
