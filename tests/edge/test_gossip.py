"""Guards against entries that act on missing or outdated reports of others.

Datagrams can be lost, repeated, reordered or invalid, and earlier versions send
fewer fields. A late copy of a message would replace newer counts of calls.
"""

from __future__ import annotations

import asyncio
import unittest

from msgspec import msgpack

from snipebend.edge.gossip import Gossip, GossipMessage
from snipebend.edge.host_follower import HostFollower
from snipebend.kernel.clock import SystemClock
from snipebend.kernel.registry import Registry
from snipebend.kernel.tasks import TaskSupervisor
from snipebend.relay.crash_report import CrashReport
from snipebend.relay.rate_limit_table import LimitReport
from snipebend.relay.refusals import RefusalReport
from snipebend.settings.model import ProcessSection
from snipebend.settings.relay import RelaySettings
from snipebend.settings.seeds import SeedsSection
from snipebend.transport.rpc_clients import RpcClients
from tests.edge.gossip_state import FakeGossipState


class TestGossip(unittest.IsolatedAsyncioTestCase):
    """Entries exchange messages on loopback, or are passed single datagrams."""

    async def start(self, name, calls, data_center='dc'):
        cfg = RelaySettings(
            process=ProcessSection(name=name, data_center=data_center),
            control=SeedsSection(addresses=['127.0.0.1:1'], grpc_port=1),
        )
        registry = Registry(SystemClock(), TaskSupervisor())
        follower = HostFollower('hosts', cfg, RpcClients(), read_table=None)
        registry.register(follower)
        state = FakeGossipState(calls)
        gossip = Gossip('gossip', name, ('127.0.0.1', 0), state)
        await gossip.start(registry)
        self.addAsyncCleanup(registry.tasks.stop)
        self.addAsyncCleanup(gossip.stop)
        self.states[name] = state
        return gossip, follower, state.calls_received

    def setUp(self):
        self.states = {}

    async def test_waiting_requests_reach_other_entries(self):
        _, sender, _ = await self.start('a', {})
        _, receiver, received = await self.start('b', {})
        self.states['a'].waiting = {'s': {0: 2, 17: 1}}
        sender.entries = frozenset((receiver.gossip_address,))
        await asyncio.wait_for(received.get(), 10)
        heard = self.states['b'].waiting_received
        self.assertEqual(heard['a'], {'s': {0: 2, 17: 1}})
        self.states['a'].waiting = {}
        while heard['a']:
            await asyncio.wait_for(received.get(), 10)

    async def test_calls_reach_other_entries(self):
        calls = {'i-1': 2}
        _, sender, _ = await self.start('a', calls)
        _, receiver, received = await self.start('b', {})
        sender.entries = frozenset((receiver.gossip_address,))
        message = await asyncio.wait_for(received.get(), 10)
        self.assertEqual(message, ('a', {'i-1': 2}))
        calls['i-1'] = 5
        while message[1]['i-1'] != 5:
            message = await asyncio.wait_for(received.get(), 10)

    async def test_limits_reach_other_entries(self):
        _, sender, _ = await self.start('a', {})
        _, receiver, _ = await self.start('b', {})
        sender.entries = frozenset((receiver.gossip_address,))
        self.states['a'].limits['i-1'] = LimitReport(3, 0.5, 2.0)
        message = await asyncio.wait_for(
            self.states['b'].limits_received.get(), 10
        )
        self.assertEqual(message, ('a', {'i-1': LimitReport(3, 0.5, 2.0)}))
        # This entry receives nothing from the one other entry.
        self.assertEqual(self.states['a'].share, 0.5)

    async def test_entries_that_are_cut_off_keep_their_share_of_limits(self):
        _, cut_off, _ = await self.start('a', {})
        _, receiver, _ = await self.start('b', {})
        cut_off.entries = frozenset((receiver.gossip_address,))
        cut_off.fleet.record(
            (receiver.gossip_address, 'elsewhere:1'), SystemClock().now()
        )
        self.states['a'].calls['i-1'] = 1
        await asyncio.wait_for(self.states['b'].calls_received.get(), 10)
        self.assertEqual(self.states['a'].share, 1 / 3)

    async def test_crashes_reach_other_entries_and_are_repeated(self):
        _, sender, _ = await self.start('a', {})
        _, receiver, _ = await self.start('b', {})
        report = {'fatal': CrashReport(('i-1@0', 'i-2@0'), 0.5)}
        sender.entries = frozenset((receiver.gossip_address,))
        self.states['a'].crashes.update(report)
        received = self.states['b'].crashes_received
        for _ in range(2):
            message = await asyncio.wait_for(received.get(), 10)
            self.assertEqual(message, ('a', report))

    async def test_refusals_reach_other_entries(self):
        _, sender, _ = await self.start('a', {})
        _, receiver, _ = await self.start('b', {})
        sender.entries = frozenset((receiver.gossip_address,))
        self.states['a'].refusals['i-1'] = RefusalReport(3, 0.5)
        message = await asyncio.wait_for(
            self.states['b'].refusals_received.get(), 10
        )
        self.assertEqual(message, ('a', {'i-1': RefusalReport(3, 0.5)}))

    async def test_earlier_versions_send_no_limits(self):
        gossip, _, received = await self.start('b', {})
        former = ('a', 10.0, 1, {'i': 2}, False)
        gossip.datagram_received(msgpack.encode(former), ('h', 1))
        self.assertEqual(received.get_nowait(), ('a', {'i': 2}))
        self.assertTrue(self.states['b'].limits_received.empty())
        self.assertTrue(self.states['b'].refusals_received.empty())

    async def test_calls_are_forwarded_in_another_data_center(self):
        _, sender, _ = await self.start('a', {'i-1': 2})
        _, remote, received = await self.start('b', {}, 'dc-2')
        _, remote_neighbour, received_by_forward = await self.start(
            'c', {}, 'dc-2'
        )
        addresses = (remote.gossip_address, remote_neighbour.gossip_address)
        data_centers = dict.fromkeys(addresses, 'dc-2')
        data_centers[sender.gossip_address] = 'dc'
        for follower in (sender, remote, remote_neighbour):
            follower.data_centers = data_centers
        sender.entries = frozenset(addresses)
        remote.entries = frozenset((sender.gossip_address, addresses[1]))
        remote_neighbour.entries = frozenset(
            (sender.gossip_address, addresses[0])
        )
        for queue in (received, received_by_forward):
            message = await asyncio.wait_for(queue.get(), 10)
            while message[0] != 'a':
                message = await asyncio.wait_for(queue.get(), 10)
            self.assertEqual(message, ('a', {'i-1': 2}))

    async def test_late_copies_and_invalid_datagrams_change_nothing(self):
        gossip, _, received = await self.start('b', {})

        def receive(started_at, number):
            message = GossipMessage('a', started_at, number, {'i': number})
            gossip.datagram_received(msgpack.encode(message), ('h', 1))

        receive(10.0, 2)
        receive(10.0, 1)
        receive(10.0, 2)
        receive(9.0, 7)
        gossip.datagram_received(b'noise', ('h', 1))
        receive(11.0, 1)
        message = [received.get_nowait() for _ in range(received.qsize())]
        self.assertEqual(message, [('a', {'i': 2}), ('a', {'i': 1})])
