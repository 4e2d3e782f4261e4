"""The order in which an entry's services start."""

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
    """Control learns with the first watch where to reach this entry."""

    async def test_the_first_watch_tells_the_gossip_address(self):
        cfg = RelaySettings(
            process=ProcessSection(name='e', data_center='dc'),
            control=SeedsSection(addresses=['127.0.0.1:1'], grpc_port=1),
        )
        process, _ = build_relay_entry(cfg, Dialect(), read_table=None)
        told = []

        async def start(follower, registry):
            told.append(follower.gossip_address)
            raise InterruptedError

        with mock.patch.object(HostFollower, 'start', start):
            with self.assertRaises(InterruptedError):
                for service in process.registry:
                    await service.start(process.registry)
        self.addAsyncCleanup(process.registry.tasks.stop)
        self.assertRegex(told[0], r'^127\.0\.0\.1:[1-9]')
        await process.registry.find('gossip', object).stop()
