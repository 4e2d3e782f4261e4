"""Guards against steps that run early, in bursts without any time between.

The event loop's time has a granularity of a millisecond. If a boundary that has
just been reached were taken for the end of the previous step, the engine would
run steps until the time advances.
"""

from __future__ import annotations

import unittest

from snipebend.standin.step_clock import StepClock

MS_PER_S = 1000
STEP_MS = 10
STEPS = 1000


class TestStepClock(unittest.TestCase):
    """A step begins exactly at its boundary."""

    def check_boundaries(self, started_ms):
        times = [started_ms / MS_PER_S]
        clock = StepClock(lambda: times[-1], STEP_MS / MS_PER_S)
        for step in range(1, STEPS):
            times.append((started_ms + step * STEP_MS) / MS_PER_S)
            self.assertEqual(clock.step, step)
            self.assertGreater(clock.next_step_at, clock.now())

    def test_step_at_each_boundary(self):
        for started_ms in range(1_000_000, 2_000_000, 99_991):
            self.check_boundaries(started_ms)


if __name__ == '__main__':
    unittest.main()
