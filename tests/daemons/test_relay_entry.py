"""Guards against an entry whose address the other entries don't learn.

The first watch sends the entry's gossip address to control, so that the gossip
service must have an address before the watch starts.
"""

from __future__ import annotations

import unittest
from unittest import mock

from snipebend.daemons.relay_entry import build_relay_entry
from snipebend.edge.host_follower import HostFollower
from snipebend.settings.model import ProcessSection
from snipebend.settings.relay import RelaySettings
from snipebend.settings.seeds import SeedsSection
from tests.edge.relay_fixture import Dialect


class TestStart(unittest.IsolatedAsyncioTestCase):
    """The first watch sends the entry's gossip address to control.

    If the watch starts before the gossip service, the other entries don't
    learn this entry's address and budget retries as if they were alone.
    """

    async def test_first_watch_sends_the_gossip_address(self):
        cfg = RelaySettings(
            process=ProcessSection(name='e', data_center='dc'),
            control=SeedsSection(addresses=['127.0.0.1:1'], grpc_port=1),
        )
        process, _ = build_relay_entry(cfg, Dialect(), read_table=None)
        addresses = []

        async def start(follower, registry):
            addresses.append(follower.gossip_address)
            raise InterruptedError

        with mock.patch.object(HostFollower, 'start', start):
            with self.assertRaises(InterruptedError):
                for service in process.registry:
                    await service.start(process.registry)
        self.addAsyncCleanup(process.registry.tasks.stop)
        self.assertRegex(addresses[0], r'^127\.0\.0\.1:[1-9]')
        await process.registry.find('gossip', object).stop()
