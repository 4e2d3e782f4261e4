"""Searches for work that runs twice and for wrongly reported outcomes.

Such faults need a rare combination of lost, delayed and duplicated messages,
crashes and resends by the caller, so seeded random schedules search for them.
The search must also detect each injected fault and reach every outcome.
"""

from __future__ import annotations

import sys
import unittest
from collections import Counter

from tests.delivery.checks import find_faults
from tests.delivery.faults import FAULTS, injected
from tests.delivery.world import World

SCHEDULES = 2500
STEPS = 150

#: All final actions and outcomes; the search is too weak if it misses one.
ENDINGS = frozenset(
    (
        'FinishResponse',
        'SendStoredResponse',
        'AbortResponse unknown',
        'AbortResponse not-run',
        'Refuse not-run',
        'Refuse ran',
        'Refuse unknown',
    )
)


def _is_detected() -> bool:
    for seed in range(SCHEDULES):
        world = World(seed)
        world.run_schedule(STEPS)
        if find_faults(world):
            return True
    return False


class SearchTest(unittest.TestCase):
    """Schedules with loss, delay, duplication, crashes and resends."""

    def test_invariants_hold(self) -> None:
        endings: Counter[str] = Counter()
        steps = 0
        for seed in range(SCHEDULES):
            world = World(seed)
            world.run_schedule(STEPS)
            endings += world.finals
            steps += world.steps
            self.assertEqual(find_faults(world), [], f'seed {seed}')
        self.assertEqual(ENDINGS, endings.keys())
        sys.stderr.write(
            f'\ndelivery search: {SCHEDULES} schedules, {steps} steps, '
            f'{dict(endings)}\n',
        )

    def test_injected_faults_are_detected(self) -> None:
        for name in FAULTS:
            with self.subTest(fault=name), injected(name):
                self.assertTrue(_is_detected())


if __name__ == '__main__':
    unittest.main()
