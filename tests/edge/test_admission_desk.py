"""A request that leaves must free its place, and none may wait for nothing.

A place that stays counted for a caller who has left is lost to all others for
as long as the entry runs.
"""

from __future__ import annotations

import asyncio
import unittest

from snipebend.edge.admission_desk import TICK_S, Inquiry
from snipebend.relay.upstream_selection import NoCapacity
from snipebend.relay.upstreams import Upstream
from snipebend.state.host_updates import GroupPhase, UpstreamGroupStatus
from tests.edge.admission_load import (
    RANKS,
    SIZES,
    TARGET_S,
    LoadTest,
    Request,
    make_admitted,
    now,
)
from tests.virtual_time import run_in_virtual_time

ALL_PLACES = RANKS * SIZES.slots


def fill(entry, calls=ALL_PLACES):
    """Let another entry take places."""
    per_rank = calls // RANKS
    report = {str(rank): per_rank for rank in range(RANKS)}
    entry.table.apply_calls('other', report, now())


def ask(entry, priority=1):
    admitted = make_admitted(Request(sent_at=now(), priority=priority), now())
    inquiry = Inquiry(admitted, (), 100, has_events=False)
    return asyncio.ensure_future(entry.desk.acquire(inquiry))


def own_calls(entry):
    return sum(entry.own_calls().values())


class TestAdmissionDesk(unittest.TestCase):
    """Holds requests while there is no room."""

    def play(self, scenario):
        entry = LoadTest(entries=1).entries[0]
        run_in_virtual_time(scenario(entry))

    def test_waiting_request_goes_once_a_place_is_free(self):
        async def scenario(entry):
            fill(entry)
            asked = ask(entry)
            await asyncio.sleep(0.01)
            self.assertFalse(asked.done())
            self.assertEqual(entry.desk.waiting(), {'s': {17: 1}})
            fill(entry, ALL_PLACES - RANKS)
            upstream = await asked
            self.assertIsInstance(upstream, Upstream)
            self.assertLess(now(), TARGET_S / 2)
            self.assertEqual(entry.desk.waiting(), {})

        self.play(scenario)

    def test_caller_that_leaves_frees_its_place(self):
        async def scenario(entry):
            fill(entry)
            waiting = ask(entry)
            await asyncio.sleep(0.01)
            waiting.cancel()
            await asyncio.sleep(0)
            self.assertEqual(entry.desk.waiting(), {})
            granted = ask(entry)
            await asyncio.sleep(0.01)
            left = entry.table.find('0')
            left.other_entries_calls['other'] -= 1
            # The end of a call lets it go, and it leaves before it does so.
            admitted = make_admitted(Request(sent_at=now()), now())
            entry.desk.begin_call(admitted)
            entry.desk.end_call(admitted, left, 1.0)
            await asyncio.sleep(0)
            self.assertEqual(own_calls(entry), 1)
            granted.cancel()
            await asyncio.sleep(0.01)
            self.assertEqual(own_calls(entry), 0)

        self.play(scenario)

    def test_waits_no_longer_than_it_can_be_served(self):
        async def scenario(entry):
            fill(entry)
            outcome = await ask(entry)
            self.assertIsInstance(outcome, NoCapacity)
            self.assertLess(now(), TARGET_S + TICK_S)

        self.play(scenario)

    def test_stopped_group_gets_a_probe_only(self):
        async def scenario(entry):
            ranks = tuple(map(str, range(RANKS)))
            down = UpstreamGroupStatus('g', 's', GroupPhase.DOWN, ranks)
            entry.table.apply_group_statuses([down])
            outcomes = await asyncio.gather(*(ask(entry) for _ in range(20)))
            probes = [one for one in outcomes if isinstance(one, Upstream)]
            self.assertEqual(len(probes), 1)
            self.assertLess(now(), 0.01)

        self.play(scenario)

    def test_without_upstreams_nobody_waits(self):
        async def scenario(entry):
            for upstream in entry.table:
                upstream.leaving = True
            self.assertIsNone(await ask(entry))
            self.assertEqual(now(), 0)

        self.play(scenario)


if __name__ == '__main__':
    unittest.main()
