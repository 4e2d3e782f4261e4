"""Guards against bursts at cold upstreams through a running entry.

Calls, retries and refusals must all go by what the entry has heard, and an
entry whose service or settings name no limit must behave as before.
"""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from unittest import mock

from snipebend.edge.call_result import CallResult
from snipebend.hosts.model import HostService
from snipebend.relay.call_outcomes import CallOutcome
from snipebend.settings.relay import ColdSection, RelaySection
from snipebend.state.host_updates import GroupPhase, UpstreamGroupStatus
from snipebend.state.roster import RosterPhase
from snipebend.state.warmth import Warmth, WarmthReport
from tests.edge.relay_fixture import (
    TABLE,
    SteppedClock,
    request,
    respond_ok,
    respond_with,
    running,
    send_request,
)

#: Calls a second from two entries to a cold upstream.
PER_S = 4.0
COLD_TABLE = TABLE._replace(
    services=(HostService('s', '/healthz', 10, cold_per_s=PER_S),)
)
COLD = RelaySection(cold=ColdSection())
OTHERS = frozenset(('10.0.0.2:7',))

refuse = respond_with(b'', '503 Busy', 'X-Not-Run: 1\r\n')


def know_fleet(relay):
    """Let the entry know one other, for long enough."""
    relay.follower.fleet.record(OTHERS, 0)
    relay.follower.entries_listed_at = 0
    relay.follower.on_update()


def report(relay, *warm):
    reports = tuple(WarmthReport(name, Warmth.WARM) for name in warm)
    relay.follower.on_warmth('d-1', reports)


class TestColdUpstreams(unittest.IsolatedAsyncioTestCase):
    """The calls of one entry to upstreams that may be cold."""

    async def send(self, relay, count, path='/unsafe/'):
        got = [await send_request(relay, request(path)) for _ in range(count)]
        return SimpleNamespace(
            responses=got,
            statuses=[one.status for one in got],
            counts=[len(one.requests) for one in relay.upstreams],
        )

    async def test_refused_with_the_time_of_the_next_call(self):
        clock = SteppedClock()
        async with running(
            respond_ok, table=COLD_TABLE, clock=clock, section=COLD
        ) as relay:
            know_fleet(relay)
            sent = await self.send(relay, 3)
            self.assertEqual(sent.statuses, [200, 503, 503])
            refused = sent.responses[-1]
            self.assertIn(b'not-run', refused.body)
            wait_s = float(refused.headers['retry-after'])
            self.assertGreater(wait_s, 0.5)
            clock.advanced_s += 1.4
            sent = await self.send(relay, 1)
            self.assertEqual(sent.statuses, [200])

    async def test_warm_ones_are_not_limited(self):
        async with running(
            respond_ok, table=COLD_TABLE, clock=SteppedClock(), section=COLD
        ) as relay:
            know_fleet(relay)
            report(relay, 'i-0')
            sent = await self.send(relay, 9)
            self.assertEqual(set(sent.statuses), {200})
            relay.follower.on_warmth('d-1', None)
            sent = await self.send(relay, 1)
            self.assertEqual(sent.statuses, [503])

    async def test_without_settings_or_a_rate_nothing_is_limited(self):
        cases = ((COLD_TABLE, RelaySection()), (TABLE, COLD))
        for table, section in cases:
            async with running(
                respond_ok, table=table, clock=SteppedClock(), section=section
            ) as relay:
                know_fleet(relay)
                sent = await self.send(relay, 9)
                self.assertEqual(set(sent.statuses), {200})

    async def test_retries_leave_a_cold_upstream_its_rest(self):
        """The warm one refuses; only so many retries reach the cold one."""
        async with running(
            refuse,
            respond_ok,
            table=COLD_TABLE,
            clock=SteppedClock(),
            section=COLD,
        ) as relay:
            know_fleet(relay)
            report(relay, 'i-0')
            sent = await self.send(relay, 6, '/safe/')
            self.assertEqual(sent.counts[1], 1)
            self.assertEqual(sent.statuses.count(200), 1)

    async def test_an_upstream_that_ended_is_not_kept_in_doubt(self):
        async with running(
            respond_ok, table=COLD_TABLE, clock=SteppedClock(), section=COLD
        ) as relay:
            know_fleet(relay)
            cold = relay.service.cold
            ended = relay.service._upstreams.find('i-0')
            relay.announce('i-0', '', phase=RosterPhase.ENDED)
            broken = CallResult(CallOutcome.UNKNOWN, 'closed', faulty=True)
            cold.record_result(ended, broken)
            self.assertEqual(cold.table._doubted_until, {})

    async def test_only_calls_that_a_less_busy_one_would_get_are_diverted(self):
        async with running(
            respond_ok,
            respond_ok,
            table=COLD_TABLE,
            clock=SteppedClock(),
            section=COLD,
        ) as relay:
            know_fleet(relay)
            await self.send(relay, 2)
            report(relay, 'i-0')
            with mock.patch.object(
                relay.service.meters, 'count_cold_diversion'
            ) as count:
                await self.send(relay, 1)
                count.assert_not_called()
                relay.service._upstreams.find('i-0').own_calls = 1
                await self.send(relay, 1)
                count.assert_called_once_with('s')

    async def test_a_wait_is_named_only_if_no_other_upstream_is_open(self):
        """Else a refusal for another reason would name a wait that is none."""
        async with running(
            respond_ok,
            respond_ok,
            table=COLD_TABLE,
            clock=SteppedClock(),
            section=COLD,
        ) as relay:
            know_fleet(relay)
            await self.send(relay, 2)
            admitted = SimpleNamespace(service='s', route=TABLE.routes[0])
            find_wait = relay.service.chooser.find_capacity_wait
            self.assertIsNotNone(find_wait(admitted, ()))
            report(relay, 'i-0')
            self.assertIsNone(find_wait(admitted, ()))
            self.assertIsNotNone(find_wait(admitted, ('i-0',)))
            report(relay)
            relay.follower.on_warmth('d-1', None)
            status = UpstreamGroupStatus(
                'g', 's', GroupPhase.DOWN, ('i-0', 'i-1')
            )
            relay.follower.on_groups((status,))
            self.assertIsNone(find_wait(admitted, ()))

    async def test_a_call_that_is_sent_late(self):
        """As after a freeze: calls chosen since then are sent beside it."""
        clock = SteppedClock()
        async with running(
            respond_ok, table=COLD_TABLE, clock=clock, section=COLD
        ) as relay:
            know_fleet(relay)
            acquire = relay.service.pool.acquire

            async def acquire_late(*args, **kwargs):
                conn = await acquire(*args, **kwargs)
                clock.advanced_s += 1
                return conn

            relay.service.pool.acquire = acquire_late
            sent = await self.send(relay, 1)
            self.assertEqual((sent.statuses, sent.counts), ([503], [0]))
            report(relay, 'i-0')
            sent = await self.send(relay, 1)
            self.assertEqual((sent.statuses, sent.counts), ([200], [1]))

    async def test_a_broken_call_makes_a_warm_one_doubtful(self):
        async def break_off(req, writer):
            return False

        async with running(
            break_off, table=COLD_TABLE, clock=SteppedClock(), section=COLD
        ) as relay:
            know_fleet(relay)
            report(relay, 'i-0')
            await self.send(relay, 1)
            upstream = relay.service._upstreams.find('i-0')
            now = relay.service.now()
            self.assertTrue(relay.service.cold.table.is_cold(upstream, now))


if __name__ == '__main__':
    unittest.main()
