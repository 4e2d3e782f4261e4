"""Rests of engines."""

from __future__ import annotations

import unittest

from snipebend.balancing.engine_rests import EngineRests


class TestEngineRests(unittest.TestCase):
    """Each ends by itself; the longest one counts."""

    def test_a_longer_rest_stays(self):
        rests = EngineRests()
        rests.note('a', 3.0, now=10.0)
        rests.note('a', 0.5, now=11.0)
        rests.note('b', 1.0, now=11.0)
        self.assertEqual(rests.left_s('a', 12.0), 1.0)
        self.assertEqual(rests.left_s('b', 12.0), 0)
        self.assertEqual(rests.left_s('c', 12.0), 0)


if __name__ == '__main__':
    unittest.main()
