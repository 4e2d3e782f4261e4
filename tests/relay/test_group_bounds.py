"""A bound must bring passes within the pause of streams, if any bound can.

Too high, it makes all streams of a group late; too low, it leaves engines idle
while callers are refused.
"""

from __future__ import annotations

import unittest

from snipebend.hosts.model import EngineProfile
from snipebend.relay.group_bounds import MIN_SHARE, GroupLoad, bound_calls

ENGINE = EngineProfile(
    8, 1000, step_s=0.005, request_step_s=0.002, pass_steps=6
)
RANKS = 10
SLOTS = 80
PAUSE_S = 0.12


def pass_s(calls, stretch=1.0):
    """Return the pass time at a number of calls of the group."""
    per_rank = min(calls, SLOTS) / RANKS
    return stretch * ENGINE.pass_steps * (0.005 + 0.002 * per_rank)


def bound_at(calls, stretch, engine=ENGINE, pause_s=PAUSE_S):
    load = GroupLoad(RANKS, SLOTS, calls, pass_s(calls, stretch), pause_s)
    return bound_calls(load, engine)


class TestBoundCalls(unittest.TestCase):
    """Scales the observed pass time by the declared times of steps."""

    def test_all_slots_while_passes_are_short(self):
        self.assertEqual(bound_at(40, 0.9), SLOTS)

    def test_passes_at_the_bound_are_within_the_pause(self):
        for stretch in (1.0, 1.2, 1.4):
            bounds = {bound_at(calls, stretch) for calls in (20, 50, 80, 160)}
            with self.subTest(stretch=stretch):
                self.assertLess(max(bounds), SLOTS)
                self.assertLessEqual(max(bounds) - min(bounds), 1)
                self.assertLessEqual(pass_s(max(bounds), stretch), PAUSE_S)
                more = pass_s(max(bounds) + 2, stretch)
                self.assertGreater(more, PAUSE_S)

    def test_all_slots_where_no_bound_helps(self):
        least = MIN_SHARE * SLOTS
        stretch = 1.05 * PAUSE_S / pass_s(least)
        self.assertEqual(bound_at(SLOTS, stretch), SLOTS)
        self.assertLess(bound_at(SLOTS, 0.9 * stretch), SLOTS)

    def test_all_slots_without_what_decides(self):
        undeclared = ENGINE._replace(request_step_s=0)
        self.assertEqual(bound_at(SLOTS, 1.4, engine=undeclared), SLOTS)
        self.assertEqual(bound_at(SLOTS, 1.4, engine=None), SLOTS)
        self.assertEqual(bound_at(SLOTS, 1.4, pause_s=0), SLOTS)
        unknown = GroupLoad(RANKS, SLOTS, SLOTS, None, PAUSE_S)
        self.assertEqual(bound_calls(unknown, ENGINE), SLOTS)


if __name__ == '__main__':
    unittest.main()
