"""Guards against counts that are read from too few or too many ranks.

While the demand is unknown, the counts of a few ranks contain too few
selections to estimate it, and an unsuitable map stays in force longer. Once it
is known, reading further ranks only adds cost.
"""

from __future__ import annotations

import unittest
from types import SimpleNamespace

from snipebend.balancing.count_reader import (
    INITIAL_SAMPLE_SIZE,
    SAMPLE_SIZE,
    CountReader,
)
from snipebend.experts.direct_orders import RankCounts, RankReport
from snipebend.experts.group_monitor import GroupMonitor
from snipebend.experts.reading_plan import Reading
from snipebend.experts.sizes import ExpertSizes
from tests.virtual_time import LoopClock

RANKS = 32
SIZES = ExpertSizes(2, 64, 5, 2, 0.85)
REPORT = RankReport('i', 'g', 1, 0, RANKS, is_open=True, step=1, map_version=0)


class Engines:
    """Ranks with many selections in each pass."""

    def __init__(self):
        self.queried = []
        self.step = 1

    async def read_counts(self, upstream):
        self.queried.append(upstream)
        selections = (100 * self.step,) * (SIZES.layers * SIZES.experts)
        return RankCounts(1, self.step, selections)


class TestCountReader(unittest.IsolatedAsyncioTestCase):
    """More ranks are read until the demand is known, and few after that."""

    async def test_initial_interval_reads_more_ranks(self):
        engines = Engines()
        reader = CountReader(engines, LoopClock())
        monitor = GroupMonitor(SIZES, REPORT)
        snapshot = SimpleNamespace(
            upstreams={rank: rank for rank in range(RANKS)}
        )
        asked = []
        for reading in (Reading.BEGIN, Reading.END, Reading.END):
            engines.queried.clear()
            engines.step += 3
            self.assertTrue(await reader.read(monitor, snapshot, reading))
            asked.append(len(set(engines.queried)))
        self.assertEqual(
            asked, [INITIAL_SAMPLE_SIZE, INITIAL_SAMPLE_SIZE, SAMPLE_SIZE]
        )
        self.assertFalse(monitor.is_demand_unknown)


if __name__ == '__main__':
    unittest.main()
