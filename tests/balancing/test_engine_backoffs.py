"""Guards against calls to an engine before its backoff has expired.

An engine that requested a long backoff can request a shorter one afterwards,
which must not replace the longer one.
"""

from __future__ import annotations

import unittest

from snipebend.balancing.engine_backoffs import EngineBackoffs


class TestEngineBackoffs(unittest.TestCase):
    """Each backoff expires separately; the longest one of an engine counts."""

    def test_longer_backoff_is_kept(self):
        backoffs = EngineBackoffs()
        backoffs.record('a', 3.0, now=10.0)
        backoffs.record('a', 0.5, now=11.0)
        backoffs.record('b', 1.0, now=11.0)
        self.assertEqual(backoffs.remaining_s('a', 12.0), 1.0)
        self.assertEqual(backoffs.remaining_s('b', 12.0), 0)
        self.assertEqual(backoffs.remaining_s('c', 12.0), 0)


if __name__ == '__main__':
    unittest.main()
