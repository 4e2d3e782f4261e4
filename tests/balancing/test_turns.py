"""From a turn of demand to a map that fits it, in groups of any size."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from snipebend.experts.group_pace import GroupPaces
from tests.balancing.group_model import Leader, ModelGroup, Shape
from tests.virtual_time import LoopClock, run_in_virtual_time

SHAPES = (
    Shape(8, 6, 64, 11, 1.0),
    Shape(16, 4, 64, 5, 0.8),
    Shape(32, 12, 128, 5, 0.7),
    Shape(72, 12, 144, 3, 0.6),
    Shape(192, 10, 384, 3, 0.43),
)
#: When demand turns first; a new leader waits for reports before.
TURN_AT = 3.0
#: Seconds of a pass after it, of 0.2 that streams may pause.
TURNED_S = 0.16
#: Seconds of an even pass under load: with a map that fits, 0.11 and more.
LOADED_S = 0.09
#: Demand turns each 3 to 4 s on the days that are known: a map that doesn't fit
#: is to be in force for less than half of that.
MOST_S = 1.75
#: A map that hasn't come by then doesn't come.
LONGEST_S = 10.0


async def _inline(act, *args):
    """Do at once what else a thread does."""
    return act(*args)


def play(main):
    """Play on virtual time; what a search takes isn't counted."""
    with mock.patch('asyncio.to_thread', _inline):
        return run_in_virtual_time(main)


class Day:
    """A group under a leader."""

    def __init__(self, shape, seed=1):
        self.group = ModelGroup(shape, seed)
        self.paces = GroupPaces()
        self.leader = Leader(self.group, self.paces)
        self._passes = asyncio.ensure_future(self.group.run(self.paces))

    async def until(self, moment):
        await asyncio.sleep(moment - asyncio.get_running_loop().time())

    async def begin(self, turned_s=TURNED_S):
        """Let the first map be found, then turn the demand.

        Passes take so many seconds from then on, with the map that doesn't fit.
        """
        await self.leader.start()
        await self.until(TURN_AT)
        self.group.turn()
        if turned_s:
            self.group.stretch_to(turned_s)
        return self.group.skew

    async def end(self):
        await self.leader.lose()
        self._passes.cancel()

    async def fit_after_s(self, turned):
        """Return the seconds until the skew is nearer to 1 than it was."""
        clock = LoopClock()
        while self.group.skew > (1 + turned) / 2:
            await asyncio.sleep(0.01)
            if clock.now() > TURN_AT + LONGEST_S:
                break
        return clock.now() - TURN_AT


class TestTurns(unittest.TestCase):
    """A map that doesn't fit the demand doesn't stay."""

    def check(self, shape, fit_after_s):
        self.assertLess(fit_after_s, MOST_S, shape)

    def test_with_passes_long_from_the_turn(self):
        for shape in SHAPES:
            with self.subTest(ranks=shape.ranks):
                self.check(shape, play(self._turn(shape)))

    def test_with_passes_long_from_load_alone_before(self):
        """Looks that change nothing come before the turn."""
        for shape in SHAPES:
            with self.subTest(ranks=shape.ranks):
                loaded = shape._replace(pass_s=LOADED_S)
                self.check(shape, play(self._turn(loaded, turned_s=0)))

    def test_with_passes_that_stay_short(self):
        """Streams are still on time."""
        for shape in SHAPES:
            with self.subTest(ranks=shape.ranks):
                self.check(shape, play(self._turn(shape, turned_s=0.12)))

    def test_after_a_failed_reading(self):
        for shape in SHAPES:
            with self.subTest(ranks=shape.ranks):
                self.check(shape, play(self._turn_unread(shape)))

    def test_with_a_leader_that_changes(self):
        """The next one waits until reports show what the last one did."""
        for shape in SHAPES:
            with self.subTest(ranks=shape.ranks):
                self.check(shape, play(self._turn_of_leaders(shape)))

    async def _turn(self, shape, turned_s=TURNED_S):
        day = Day(shape)
        turned = await day.begin(turned_s)
        took_s = await day.fit_after_s(turned)
        await day.end()
        return took_s

    async def _turn_unread(self, shape):
        day = Day(shape)
        turned = await day.begin()
        day.group.unread_until = TURN_AT + 0.3
        took_s = await day.fit_after_s(turned)
        await day.end()
        return took_s

    async def _turn_of_leaders(self, shape):
        day = Day(shape)
        turned = await day.begin()
        await asyncio.sleep(0.3)
        await day.leader.lose()
        day.leader = Leader(day.group, day.paces, day.leader, term=2)
        await day.leader.start()
        took_s = await day.fit_after_s(turned)
        await day.end()
        return took_s


if __name__ == '__main__':
    unittest.main()
