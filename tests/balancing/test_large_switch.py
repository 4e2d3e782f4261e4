"""Switches of large groups over a link that carries so much and no more.

What users saw: a group of 192 ranks never got another map. Each of 192 orders
held the whole map, 25 kB, and had 0.04 s for all of it; those that the link
didn't carry in that time were cut off and begun anew, for ever.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from collections import Counter
from contextlib import suppress
from types import SimpleNamespace

from snipebend.experts.direct_orders import (
    Go,
    Hold,
    Prepare,
    RankCounts,
    RankReport,
    Reply,
)
from snipebend.experts.direct_switch import Phase
from snipebend.orders.flow import WINDOW_BYTES
from snipebend.state.group_plans import GroupPlan
from snipebend.balancing.meters import BalancerMeters
from snipebend.balancing.group_eyes import Seen
from snipebend.balancing.order_desk import OrderDesk
from snipebend.balancing.switch_driver import SwitchDriver
from tests.virtual_time import LoopClock, run_in_virtual_time

SIZES = (16, 72, 192, 256)
#: Bits a second of the links of leaders that are known.
WIDE, NARROW = 170e6, 20e6
FETCH_S = 0.35
PASS_S = 0.1
ROUND_TRIP_S = 0.004
#: Bytes of a small order with its headers.
SMALL = 300
#: What a leader may take from a plan to letting the group go, beside fetches.
MOST_S = 0.6
#: When the first leader is lost: its orders to prepare are half out.
LOST_AT_S = 0.15


class Link:
    """Carries orders one after the other, as fast as it can."""

    def __init__(self, bits_per_s):
        self._rate = bits_per_s / 8
        self._free_at = 0.0

    async def carry(self, size):
        now = asyncio.get_running_loop().time()
        self._free_at = max(now, self._free_at) + size / self._rate
        await asyncio.sleep(self._free_at - now + ROUND_TRIP_S)


class Engines:
    """Ranks that obey, behind one link; some are slow, silent or forgetful."""

    def __init__(self, ranks, bits_per_s, *, slow=(), silent_until=0, lost=0):
        self.ranks = ranks
        self.given = Counter()
        self.reports = 0
        self._link = Link(bits_per_s)
        self._desk = OrderDesk()
        self._slow = slow
        self._silent_until = silent_until
        self._lost = lost
        self._rng = random.Random(ranks)
        self._prepared = {}

    async def order(self, upstream, order):
        rank = int(upstream.identity)
        size = 130 * self.ranks if isinstance(order, Prepare) else SMALL
        answer = await self._give(size, lambda: self._send(rank, size, order))
        return Reply.LOST if answer is None else answer

    async def report(self, upstream):
        self.reports += 1
        await asyncio.sleep(ROUND_TRIP_S)
        return self._report(int(upstream.identity))

    async def counts(self, upstream):
        await asyncio.sleep(ROUND_TRIP_S)
        return RankCounts(1, self._step(), ())

    def seen(self):
        ranks = range(self.ranks)
        return Seen(
            {rank: self._report(rank) for rank in ranks},
            {rank: SimpleNamespace(identity=str(rank)) for rank in ranks},
            0,
        )

    async def _give(self, size, send):
        return await self._desk.give(size, send)

    async def _send(self, rank, size, order):
        self.given[type(order).__name__, rank] += 1
        await self._link.carry(size)
        now = asyncio.get_running_loop().time()
        if rank in self._slow:
            await asyncio.sleep(0.03)
        if rank == 5 and now < self._silent_until:
            await asyncio.Event().wait()
        fits = self._obey(rank, order, now)
        if self._rng.random() < self._lost:
            await asyncio.Event().wait()
        return Reply.ACCEPTED if fits else Reply.REFUSED

    def _obey(self, rank, order, now):
        match order:
            case Prepare():
                self._prepared.setdefault(rank, now + FETCH_S)
                return True
            case Hold(step=step):
                return step > self._step()
            case Go():
                return True
            case _:
                return now >= self._prepared.get(rank, now + 1)

    def _report(self, rank):
        prepared = 1 if rank in self._prepared else None
        return RankReport(
            str(rank), 'g', 1, rank, self.ranks, True, 10, 0, prepared
        )

    def _step(self):
        return 10 + int(asyncio.get_running_loop().time() / PASS_S)


class HastyEngines(Engines):
    """All orders at once, each with the same short time for all of it."""

    async def _give(self, size, send):
        try:
            async with asyncio.timeout(0.04):
                return await send()
        except TimeoutError:
            return None


async def switch(engines, span_s=10.0):
    """Switch; return how it ended, and after how many seconds."""
    clock = LoopClock()
    driver = SwitchDriver(
        engines,
        clock,
        GroupPlan('g', 1, 1, ()),
        engines.seen(),
        BalancerMeters(),
        fetch_s=FETCH_S,
    )
    phase = await driver.run(lambda: clock.now() < span_s)
    return phase, clock.now()


class TestLargeSwitch(unittest.TestCase):
    """From a plan to letting the group go."""

    def test_in_time_whatever_the_group(self):
        for ranks in SIZES[:-1]:
            with self.subTest(ranks=ranks):
                engines = Engines(ranks, WIDE)
                phase, took_s = run_in_virtual_time(switch(engines))
                self.assertIs(phase, Phase.LET_GO)
                self.assertLess(took_s, FETCH_S + MOST_S)
                self._check_once(engines)

    def test_nothing_is_begun_anew_on_a_narrow_link(self):
        """The bytes need 0.2 to 3.4 s there; they are sent once."""
        for ranks in SIZES:
            with self.subTest(ranks=ranks):
                engines = Engines(ranks, NARROW)
                phase, took_s = run_in_virtual_time(switch(engines))
                self.assertIs(phase, Phase.LET_GO)
                bytes_s = 130 * ranks**2 / (NARROW / 8)
                self.assertLess(took_s, bytes_s + FETCH_S + MOST_S)
                self._check_once(engines)

    def test_one_short_time_for_all_is_found(self):
        phase, _ = run_in_virtual_time(switch(HastyEngines(192, WIDE)))
        self.assertIs(phase, Phase.PREPARING)

    def test_a_slow_rank(self):
        engines = Engines(192, WIDE, slow={7})
        phase, took_s = run_in_virtual_time(switch(engines))
        self.assertIs(phase, Phase.LET_GO)
        self.assertLess(took_s, FETCH_S + MOST_S)
        self._check_once(engines)

    def test_a_silent_rank_is_asked_again_until_it_answers(self):
        engines = Engines(192, WIDE, silent_until=0.4)
        phase, took_s = run_in_virtual_time(switch(engines))
        self.assertIs(phase, Phase.LET_GO)
        self.assertLess(took_s, 0.4 + FETCH_S + MOST_S)
        self.assertGreater(engines.given['Prepare', 5], 1)
        self._check_once(engines, but=5)

    def test_lost_answers(self):
        engines = Engines(192, WIDE, lost=0.1)
        phase, took_s = run_in_virtual_time(switch(engines))
        self.assertIs(phase, Phase.LET_GO)
        self.assertLess(took_s, FETCH_S + 2 * MOST_S)

    def test_a_leader_that_is_lost_half_way(self):
        """The next one goes on with what ranks report."""
        engines = Engines(192, WIDE)

        async def lose_leader():
            with suppress(TimeoutError):
                async with asyncio.timeout(LOST_AT_S):
                    await switch(engines)
            told = sum(engines.given.values())
            phase, at = await switch(engines)
            return told, phase, at

        told, phase, at = run_in_virtual_time(lose_leader())
        self.assertLess(told, 192)
        self.assertIs(phase, Phase.LET_GO)
        self.assertLess(at, LOST_AT_S + FETCH_S + MOST_S)
        prepares = sum(
            times
            for (kind, _), times in engines.given.items()
            if kind == 'Prepare'
        )
        under_way = WINDOW_BYTES // (130 * 192)
        self.assertLessEqual(prepares, 192 + under_way)

    def test_only_ranks_that_may_tell_something_new_are_asked(self):
        engines = Engines(192, WIDE)
        run_in_virtual_time(switch(engines))
        self.assertLess(engines.reports, 10)

    def _check_once(self, engines, but=None):
        """No rank is given an order twice without a lost answer."""
        for (kind, rank), times in engines.given.items():
            if rank not in {0, but} and kind == 'Prepare':
                self.assertEqual(times, 1, (kind, rank))


if __name__ == '__main__':
    unittest.main()
