"""Entries that tell each other their calls."""

from __future__ import annotations

import asyncio
import unittest

from msgspec import msgpack

from snipebend.edge.gossip import CallsTold, Gossip
from snipebend.edge.host_follower import HostFollower
from snipebend.kernel.clock import SystemClock
from snipebend.kernel.registry import Registry
from snipebend.kernel.tasks import TaskSupervisor
from snipebend.relay.rate_limit_table import LimitReport
from snipebend.relay.refusals import RefusalReport
from snipebend.settings.model import ProcessSection
from snipebend.settings.relay import RelaySettings
from snipebend.settings.seeds import SeedsSection
from snipebend.transport.rpc_clients import RpcClients
from tests.edge.books import Books


class TestGossip(unittest.IsolatedAsyncioTestCase):
    """Over datagrams on loopback, and from single ones."""

    async def start(self, name, calls, data_center='dc'):
        cfg = RelaySettings(
            process=ProcessSection(name=name, data_center=data_center),
            control=SeedsSection(addresses=['127.0.0.1:1'], grpc_port=1),
        )
        registry = Registry(SystemClock(), TaskSupervisor())
        follower = HostFollower('hosts', cfg, RpcClients(), read_table=None)
        registry.register(follower)
        books = Books(calls)
        gossip = Gossip('gossip', name, ('127.0.0.1', 0), books)
        await gossip.start(registry)
        self.addAsyncCleanup(registry.tasks.stop)
        self.addAsyncCleanup(gossip.stop)
        self.books[name] = books
        return gossip, follower, books.heard

    def setUp(self):
        self.books = {}

    async def test_calls_reach_the_others(self):
        calls = {'i-1': 2}
        _, sender, _ = await self.start('a', calls)
        _, receiver, heard = await self.start('b', {})
        sender.entries = frozenset((receiver.gossip_address,))
        told = await asyncio.wait_for(heard.get(), 10)
        self.assertEqual(told, ('a', {'i-1': 2}))
        calls['i-1'] = 5
        while told[1]['i-1'] != 5:
            told = await asyncio.wait_for(heard.get(), 10)

    async def test_limits_reach_the_others(self):
        _, sender, _ = await self.start('a', {})
        _, receiver, _ = await self.start('b', {})
        sender.entries = frozenset((receiver.gossip_address,))
        self.books['a'].limits['i-1'] = LimitReport(3, 0.5, 2.0)
        told = await asyncio.wait_for(self.books['b'].heard_limits.get(), 10)
        self.assertEqual(told, ('a', {'i-1': LimitReport(3, 0.5, 2.0)}))
        # It hears nobody of one other.
        self.assertEqual(self.books['a'].share, 0.5)

    async def test_refusals_reach_the_others(self):
        _, sender, _ = await self.start('a', {})
        _, receiver, _ = await self.start('b', {})
        sender.entries = frozenset((receiver.gossip_address,))
        self.books['a'].refusals['i-1'] = RefusalReport(3, 0.5)
        told = await asyncio.wait_for(self.books['b'].heard_refusals.get(), 10)
        self.assertEqual(told, ('a', {'i-1': RefusalReport(3, 0.5)}))

    async def test_an_entry_of_an_earlier_version_tells_no_limits(self):
        gossip, _, heard = await self.start('b', {})
        former = ('a', 10.0, 1, {'i': 2}, False)
        gossip.datagram_received(msgpack.encode(former), ('h', 1))
        self.assertEqual(heard.get_nowait(), ('a', {'i': 2}))
        self.assertTrue(self.books['b'].heard_limits.empty())
        self.assertTrue(self.books['b'].heard_refusals.empty())

    async def test_calls_are_told_on_in_another_data_center(self):
        _, sender, _ = await self.start('a', {'i-1': 2})
        _, far, heard = await self.start('b', {}, 'dc-2')
        _, near_far, heard_on = await self.start('c', {}, 'dc-2')
        addresses = (far.gossip_address, near_far.gossip_address)
        data_centers = dict.fromkeys(addresses, 'dc-2')
        data_centers[sender.gossip_address] = 'dc'
        for follower in (sender, far, near_far):
            follower.data_centers = data_centers
        sender.entries = frozenset(addresses)
        far.entries = frozenset((sender.gossip_address, addresses[1]))
        near_far.entries = frozenset((sender.gossip_address, addresses[0]))
        for queue in (heard, heard_on):
            told = await asyncio.wait_for(queue.get(), 10)
            while told[0] != 'a':
                told = await asyncio.wait_for(queue.get(), 10)
            self.assertEqual(told, ('a', {'i-1': 2}))

    async def test_late_copies_and_noise_change_nothing(self):
        gossip, _, heard = await self.start('b', {})

        def tell(started_at, number):
            message = CallsTold('a', started_at, number, {'i': number})
            gossip.datagram_received(msgpack.encode(message), ('h', 1))

        tell(10.0, 2)
        tell(10.0, 1)
        tell(10.0, 2)
        tell(9.0, 7)
        gossip.datagram_received(b'noise', ('h', 1))
        tell(11.0, 1)
        told = [heard.get_nowait() for _ in range(heard.qsize())]
        self.assertEqual(told, [('a', {'i': 2}), ('a', {'i': 1})])
