"""Switches of large groups over a link with limited bandwidth.

Guards against a group of 192 ranks that never received another map. Each of 192
orders contained the complete map of 25 kB and had a timeout of 0.04 s for the
complete transfer. Orders that the link did not deliver in that time were cut
off and restarted indefinitely.
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
from snipebend.balancing.group_observer import GroupSnapshot
from snipebend.balancing.order_dispatcher import OrderDispatcher
from snipebend.balancing.switch_driver import SwitchDriver
from tests.virtual_time import LoopClock, run_in_virtual_time

SIZES = (16, 72, 192, 256)
#: Bandwidths of known leader links, in bits per second.
WIDE_LINK_BPS, NARROW_LINK_BPS = 170e6, 20e6
FETCH_S = 0.35
PASS_S = 0.1
ROUND_TRIP_S = 0.004
#: Size in bytes of a small order with its headers.
SMALL_ORDER_BYTES = 300
#: Maximum time from a plan to ``Go`` in seconds, in addition to the fetches.
MAX_OVERHEAD_S = 0.6
#: Time at which the first leader crashes, with half of the prepare orders sent.
CRASH_AT_S = 0.15


class Link:
    """Transfers orders one after the other at a fixed bandwidth."""

    def __init__(self, bits_per_s):
        self._rate = bits_per_s / 8
        self._free_at = 0.0

    async def carry(self, size):
        now = asyncio.get_running_loop().time()
        self._free_at = max(now, self._free_at) + size / self._rate
        await asyncio.sleep(self._free_at - now + ROUND_TRIP_S)


class Engines:
    """Ranks behind one link; can be slow or unresponsive or lose replies."""

    def __init__(
        self, ranks, bits_per_s, *, slow=(), unresponsive_until=0, lost=0
    ):
        self.ranks = ranks
        self.order_counts = Counter()
        self.reports = 0
        self._link = Link(bits_per_s)
        self._dispatcher = OrderDispatcher()
        self._slow = slow
        self._unresponsive_until = unresponsive_until
        self._lost = lost
        self._rng = random.Random(ranks)
        self._prepared = {}

    async def send_order(self, upstream, order):
        rank = int(upstream.identity)
        size = (
            130 * self.ranks
            if isinstance(order, Prepare)
            else SMALL_ORDER_BYTES
        )
        reply = await self._dispatch(
            size, lambda: self._send(rank, size, order)
        )
        return Reply.LOST if reply is None else reply

    async def read_report(self, upstream):
        self.reports += 1
        await asyncio.sleep(ROUND_TRIP_S)
        return self._report(int(upstream.identity))

    async def read_counts(self, upstream):
        await asyncio.sleep(ROUND_TRIP_S)
        return RankCounts(1, self._step(), ())

    def snapshot(self):
        ranks = range(self.ranks)
        return GroupSnapshot(
            {rank: self._report(rank) for rank in ranks},
            {rank: SimpleNamespace(identity=str(rank)) for rank in ranks},
            0,
        )

    async def _dispatch(self, size, send):
        return await self._dispatcher.dispatch(size, send)

    async def _send(self, rank, size, order):
        self.order_counts[type(order).__name__, rank] += 1
        await self._link.carry(size)
        now = asyncio.get_running_loop().time()
        if rank in self._slow:
            await asyncio.sleep(0.03)
        if rank == 5 and now < self._unresponsive_until:
            await asyncio.Event().wait()
        is_accepted = self._execute(rank, order, now)
        if self._rng.random() < self._lost:
            await asyncio.Event().wait()
        return Reply.ACCEPTED if is_accepted else Reply.REFUSED

    def _execute(self, rank, order, now):
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


class ShortTimeoutEngines(Engines):
    """Fault: sends all orders at once, each with the same short timeout."""

    async def _dispatch(self, size, send):
        try:
            async with asyncio.timeout(0.04):
                return await send()
        except TimeoutError:
            return None


async def switch(engines, span_s=10.0):
    """Run a switch; return its final phase and its duration in seconds."""
    clock = LoopClock()
    driver = SwitchDriver(
        engines,
        clock,
        GroupPlan('g', 1, 1, ()),
        engines.snapshot(),
        BalancerMeters(),
        fetch_s=FETCH_S,
    )
    phase = await driver.run(lambda: clock.now() < span_s)
    return phase, clock.now()


class TestLargeSwitch(unittest.TestCase):
    """Duration and orders of a switch, from the plan to ``Go``."""

    def test_switch_time_of_any_group_size(self):
        for ranks in SIZES[:-1]:
            with self.subTest(ranks=ranks):
                engines = Engines(ranks, WIDE_LINK_BPS)
                phase, took_s = run_in_virtual_time(switch(engines))
                self.assertIs(phase, Phase.GO_ACCEPTED)
                self.assertLess(took_s, FETCH_S + MAX_OVERHEAD_S)
                self._check_once(engines)

    def test_no_order_is_resent_on_a_narrow_link(self):
        """The transfer takes 0.2 to 3.4 s there; each order is sent once."""
        for ranks in SIZES:
            with self.subTest(ranks=ranks):
                engines = Engines(ranks, NARROW_LINK_BPS)
                phase, took_s = run_in_virtual_time(switch(engines))
                self.assertIs(phase, Phase.GO_ACCEPTED)
                bytes_s = 130 * ranks**2 / (NARROW_LINK_BPS / 8)
                self.assertLess(took_s, bytes_s + FETCH_S + MAX_OVERHEAD_S)
                self._check_once(engines)

    def test_uniform_short_timeout_is_detected(self):
        phase, _ = run_in_virtual_time(
            switch(ShortTimeoutEngines(192, WIDE_LINK_BPS))
        )
        self.assertIs(phase, Phase.PREPARING)

    def test_a_slow_rank(self):
        engines = Engines(192, WIDE_LINK_BPS, slow={7})
        phase, took_s = run_in_virtual_time(switch(engines))
        self.assertIs(phase, Phase.GO_ACCEPTED)
        self.assertLess(took_s, FETCH_S + MAX_OVERHEAD_S)
        self._check_once(engines)

    def test_unresponsive_rank_is_retried(self):
        engines = Engines(192, WIDE_LINK_BPS, unresponsive_until=0.4)
        phase, took_s = run_in_virtual_time(switch(engines))
        self.assertIs(phase, Phase.GO_ACCEPTED)
        self.assertLess(took_s, 0.4 + FETCH_S + MAX_OVERHEAD_S)
        self.assertGreater(engines.order_counts['Prepare', 5], 1)
        self._check_once(engines, except_rank=5)

    def test_lost_replies(self):
        engines = Engines(192, WIDE_LINK_BPS, lost=0.1)
        phase, took_s = run_in_virtual_time(switch(engines))
        self.assertIs(phase, Phase.GO_ACCEPTED)
        self.assertLess(took_s, FETCH_S + 2 * MAX_OVERHEAD_S)

    def test_leader_crashes_during_the_switch(self):
        """The next leader continues from the reports of the ranks."""
        engines = Engines(192, WIDE_LINK_BPS)

        async def crash_leader():
            with suppress(TimeoutError):
                async with asyncio.timeout(CRASH_AT_S):
                    await switch(engines)
            sent = sum(engines.order_counts.values())
            phase, at = await switch(engines)
            return sent, phase, at

        sent, phase, at = run_in_virtual_time(crash_leader())
        self.assertLess(sent, 192)
        self.assertIs(phase, Phase.GO_ACCEPTED)
        self.assertLess(at, CRASH_AT_S + FETCH_S + MAX_OVERHEAD_S)
        prepares = sum(
            times
            for (kind, _), times in engines.order_counts.items()
            if kind == 'Prepare'
        )
        in_flight = WINDOW_BYTES // (130 * 192)
        self.assertLessEqual(prepares, 192 + in_flight)

    def test_only_relevant_ranks_are_polled(self):
        engines = Engines(192, WIDE_LINK_BPS)
        run_in_virtual_time(switch(engines))
        self.assertLess(engines.reports, 10)

    def _check_once(self, engines, except_rank=None):
        """Check that ``Prepare`` is sent once unless a reply was lost."""
        for (kind, rank), times in engines.order_counts.items():
            if rank not in {0, except_rank} and kind == 'Prepare':
                self.assertEqual(times, 1, (kind, rank))


if __name__ == '__main__':
    unittest.main()
