"""How long passes take, from streams to control daemons."""

from __future__ import annotations

import asyncio
import unittest

from msgspec import msgpack

from snipebend.edge.gossip import Gossip
from snipebend.edge.host_follower import HostFollower
from snipebend.edge.pace_teller import PaceTeller
from snipebend.edge.stream_relay import StreamRelay
from snipebend.experts.group_pace import GroupPaces
from snipebend.kernel.clock import SystemClock
from snipebend.kernel.registry import Registry
from snipebend.kernel.tasks import TaskSupervisor
from snipebend.relay.facts import ResponseHead
from snipebend.relay.step_times import StepTimeMeter
from snipebend.settings.model import ProcessSection
from snipebend.settings.relay import RelaySettings
from snipebend.settings.seeds import SeedsSection
from snipebend.state.pace_news import PacesTold
from snipebend.balancing.pace_listener import PaceListener
from snipebend.transport.rpc_clients import RpcClients
from snipebend.transport.rpc_server import RpcServer
from tests.edge.books import Books


class Answer:
    """Takes what a stream writes."""

    begun = False

    def begin(self, *_):
        self.begun = True

    def write(self, data):
        """Drop it."""


class TestStreams(unittest.TestCase):
    """Pauses within one call tell the pace, pauses between two don't."""

    def setUp(self):
        self.now = 0.0
        self.meter = StepTimeMeter()
        self.stream = StreamRelay(
            Answer(),
            lambda: self.now,
            lambda events, seconds: (
                events and self.meter.record('g', events, seconds)
            ),
        )
        self.stream.begin(ResponseHead(200, b'OK', ()))

    def take(self, number, events=1):
        data = b''.join(
            b'id: %d\ndata: x\n\n' % (number + more) for more in range(events)
        )
        self.stream.take(data)

    def test_events_and_the_time_before_them(self):
        self.take(1)
        self.now += 0.25
        self.take(2, events=2)
        self.now += 0.5
        self.take(4)
        self.assertEqual(self.meter.drain(), {'g': (3, 0.75)})
        self.assertEqual(self.meter.drain(), {})

    def test_the_pause_before_another_call_is_left_out(self):
        self.take(1)
        self.now += 9
        self.stream.begin(ResponseHead(200, b'OK', ()))
        self.take(2)
        self.now += 0.5
        self.take(3)
        self.assertEqual(self.meter.drain(), {'g': (1, 0.5)})


class TestTelling(unittest.IsolatedAsyncioTestCase):
    """Over datagrams on loopback, and from single ones."""

    async def listen(self):
        registry = Registry(SystemClock(), TaskSupervisor())
        server = RpcServer('grpc', '127.0.0.1', 0)
        await server.start(registry)
        self.addAsyncCleanup(server.stop)
        self.paces = GroupPaces()
        listener = PaceListener('paces', server, self.paces)
        await listener.start(registry)
        self.addAsyncCleanup(listener.stop)
        return server, listener

    async def test_an_entry_tells_control(self):
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
        gossip = Gossip('gossip', 'e', ('127.0.0.1', 0), Books({}))
        registry.register(gossip)
        await gossip.start(registry)
        self.addAsyncCleanup(gossip.stop)
        teller = PaceTeller('paces', 'e', lambda: {'g': (4, 0.2)})
        await teller.start(registry)
        async with asyncio.timeout(10):
            while self.paces.of_group('g', SystemClock().now()) is None:
                await asyncio.sleep(0.01)
        pace_s = self.paces.of_group('g', SystemClock().now())
        self.assertAlmostEqual(pace_s, 0.05)

    async def test_late_copies_and_noise_change_nothing(self):
        _, listener = await self.listen()

        def tell(number, seconds):
            told = PacesTold('e', 5.0, number, {'g': (1, seconds)})
            data = msgpack.encode(told)
            listener.datagram_received(data, ('127.0.0.1', 9))

        tell(2, 0.1)
        tell(2, 0.5)
        tell(1, 0.5)
        listener.datagram_received(b'noise', ('127.0.0.1', 9))
        pace_s = self.paces.of_group('g', SystemClock().now())
        self.assertAlmostEqual(pace_s, 0.1)
