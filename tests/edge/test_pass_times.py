"""Detects wrong pass times of groups at control daemons.

A pause in a stream shows the pass time of its group, except when the stream is
resumed by another call. Reports are datagrams, which can be repeated, reordered
or invalid.
"""

from __future__ import annotations

import asyncio
import unittest

from msgspec import msgpack

from snipebend.balancing.pass_time_listener import PassTimeListener
from snipebend.edge.gossip import Gossip
from snipebend.edge.host_follower import HostFollower
from snipebend.edge.pass_time_reporter import PassTimeReporter
from snipebend.edge.stream_relay import StreamRelay
from snipebend.experts.group_pass_times import GroupPassTimes
from snipebend.kernel.clock import SystemClock
from snipebend.kernel.registry import Registry
from snipebend.kernel.tasks import TaskSupervisor
from snipebend.relay.facts import ResponseHead
from snipebend.relay.pass_times import PassTimeMeter
from snipebend.settings.model import ProcessSection
from snipebend.settings.relay import RelaySettings
from snipebend.settings.seeds import SeedsSection
from snipebend.state.pass_times import PassTimesReport
from snipebend.transport.rpc_clients import RpcClients
from snipebend.transport.rpc_server import RpcServer
from tests.edge.gossip_state import FakeGossipState


class FakeResponseWriter:
    """Discards what a stream writes."""

    started = False

    def begin(self, *_):
        self.started = True

    def write(self, data):
        """Discard it."""


class TestStreams(unittest.TestCase):
    """Pauses within one call are pass times, pauses between calls are not."""

    def setUp(self):
        self.now = 0.0
        self.meter = PassTimeMeter()
        self.stream = StreamRelay(
            FakeResponseWriter(),
            lambda: self.now,
            lambda events, seconds: (
                events and self.meter.record('g', events, seconds)
            ),
        )
        self.stream.begin(ResponseHead(200, b'OK', ()))

    def feed_events(self, number, events=1):
        data = b''.join(
            b'id: %d\ndata: x\n\n' % (number + offset)
            for offset in range(events)
        )
        self.stream.feed(data)

    def test_events_and_preceding_seconds(self):
        self.feed_events(1)
        self.now += 0.25
        self.feed_events(2, events=2)
        self.now += 0.5
        self.feed_events(4)
        self.assertEqual(self.meter.drain(), {'g': (3, 0.75)})
        self.assertEqual(self.meter.drain(), {})

    def test_pause_before_another_call_is_ignored(self):
        self.feed_events(1)
        self.now += 9
        self.stream.begin(ResponseHead(200, b'OK', ()))
        self.feed_events(2)
        self.now += 0.5
        self.feed_events(3)
        self.assertEqual(self.meter.drain(), {'g': (1, 0.5)})


class TestReports(unittest.IsolatedAsyncioTestCase):
    """Reports sent over loopback, and single datagrams."""

    async def listen(self):
        registry = Registry(SystemClock(), TaskSupervisor())
        server = RpcServer('grpc', '127.0.0.1', 0)
        await server.start(registry)
        self.addAsyncCleanup(server.stop)
        self.pass_times = GroupPassTimes()
        listener = PassTimeListener('paces', server, self.pass_times)
        await listener.start(registry)
        self.addAsyncCleanup(listener.stop)
        return server, listener

    async def test_reports_reach_control(self):
        server, _ = await self.listen()
        cfg = RelaySettings(
            process=ProcessSection(name='e', data_center='dc'),
            control=SeedsSection(
                addresses=[server.address],
                grpc_port=int(server.address.rpartition(':')[2]),
            ),
        )
        registry = Registry(SystemClock(), TaskSupervisor())
        self.addAsyncCleanup(registry.tasks.stop)
        registry.register(
            HostFollower('hosts', cfg, RpcClients(), read_table=None)
        )
        gossip = Gossip('gossip', 'e', ('127.0.0.1', 0), FakeGossipState({}))
        registry.register(gossip)
        await gossip.start(registry)
        self.addAsyncCleanup(gossip.stop)
        reporter = PassTimeReporter('paces', 'e', lambda: {'g': (4, 0.2)})
        await reporter.start(registry)
        async with asyncio.timeout(10):
            while self.pass_times.mean_pass_s('g', SystemClock().now()) is None:
                await asyncio.sleep(0.01)
        pass_s = self.pass_times.mean_pass_s('g', SystemClock().now())
        self.assertAlmostEqual(pass_s, 0.05)

    async def test_late_copies_and_invalid_datagrams_change_nothing(self):
        _, listener = await self.listen()

        def receive(number, seconds):
            message = PassTimesReport('e', 5.0, number, {'g': (1, seconds)})
            data = msgpack.encode(message)
            listener.datagram_received(data, ('127.0.0.1', 9))

        receive(2, 0.1)
        receive(2, 0.5)
        receive(1, 0.5)
        listener.datagram_received(b'noise', ('127.0.0.1', 9))
        pass_s = self.pass_times.mean_pass_s('g', SystemClock().now())
        self.assertAlmostEqual(pass_s, 0.1)
