"""A seeded search over schedules, and the faults that it must catch."""

from __future__ import annotations

import sys
import unittest
from collections import Counter

from tests.delivery.checks import find_faults
from tests.delivery.faults import FAULTS, planted
from tests.delivery.world import World

SCHEDULES = 2500
STEPS = 150

#: Every way in which a request can end; a search that misses one is vacuous.
ENDINGS = frozenset(
    (
        'FinishAnswer',
        'AnswerStored',
        'AbortAnswer unknown',
        'AbortAnswer not-run',
        'Refuse not-run',
        'Refuse ran',
        'Refuse unknown',
    )
)


def _is_caught() -> bool:
    for seed in range(SCHEDULES):
        world = World(seed)
        world.play(STEPS)
        if find_faults(world):
            return True
    return False


class SearchTest(unittest.TestCase):
    """Schedules of loss, delay, doubling, crashes and resends."""

    def test_promises_hold(self) -> None:
        endings: Counter[str] = Counter()
        steps = 0
        for seed in range(SCHEDULES):
            world = World(seed)
            world.play(STEPS)
            endings += world.finals
            steps += world.steps
            self.assertEqual(find_faults(world), [], f'seed {seed}')
        self.assertEqual(ENDINGS, endings.keys())
        sys.stderr.write(
            f'\ndelivery search: {SCHEDULES} schedules, {steps} steps, '
            f'{dict(endings)}\n',
        )

    def test_planted_faults_are_caught(self) -> None:
        for name in FAULTS:
            with self.subTest(fault=name), planted(name):
                self.assertTrue(_is_caught())


if __name__ == '__main__':
    unittest.main()
