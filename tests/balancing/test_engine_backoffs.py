"""Rests of engines."""

from __future__ import annotations

import unittest

from snipebend.balancing.engine_backoffs import EngineBackoffs


class TestEngineRests(unittest.TestCase):
    """Each ends by itself; the longest one counts."""

    def test_a_longer_rest_stays(self):
        backoffs = EngineBackoffs()
        backoffs.record('a', 3.0, now=10.0)
        backoffs.record('a', 0.5, now=11.0)
        backoffs.record('b', 1.0, now=11.0)
        self.assertEqual(backoffs.remaining_s('a', 12.0), 1.0)
        self.assertEqual(backoffs.remaining_s('b', 12.0), 0)
        self.assertEqual(backoffs.remaining_s('c', 12.0), 0)


if __name__ == '__main__':
    unittest.main()
