"""An agent must read the right KV cache use from its engine.

An engine reports no cache, more blocks in use than it has, or an invalid
response. Plain services have no load to report and must not be asked.
"""

from __future__ import annotations

import unittest
from unittest import mock

from aiohttp import web

from snipebend.fleet.lookup import FleetIndex
from snipebend.fleet.parsing import parse_fleet
from snipebend.kernel.clock import SystemClock
from snipebend.kernel.registry import Registry
from snipebend.kernel.tasks import TaskSupervisor
from snipebend.settings.model import UpstreamSection
from snipebend.transport.configuration_follower import ConfigurationFollower
from snipebend.transport.forward import HttpClient
from snipebend.transport.load_reader import LoadReader
from tests.fleet.test_rendering import EXAMPLES

FLEET = parse_fleet((EXAMPLES / 'chanthavong.toml').read_text(), 'f').unwrap()
BODIES = (
    ('{"kv_used_blocks": 30, "kv_blocks": 40, "step": 7}', 0.75),
    ('{"kv_used_blocks": 3, "kv_blocks": 0}', 0),
    ('{"kv_used_blocks": 50, "kv_blocks": 40}', 1),
    ('{"running": 1}', 0),
    ('no JSON', 0),
)


class LoadReaderTest(unittest.IsolatedAsyncioTestCase):
    """Engines are read; plain services are not."""

    async def asyncSetUp(self) -> None:
        self.asked = 0
        self.body = ''
        app = web.Application()
        app.router.add_get('/load', self.answer)
        runner = web.AppRunner(app)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = web.TCPSite(runner, '127.0.0.1', 0)
        await site.start()
        self.address = '127.0.0.1:%d' % runner.addresses[0][1]

    async def answer(self, req: web.Request) -> web.Response:
        self.asked += 1
        return web.Response(text=self.body)

    async def reader(self, kind: str) -> LoadReader:
        """Return a started reader for the first upstream of a kind."""
        registry = Registry(SystemClock(), TaskSupervisor())
        configuration = mock.create_autospec(
            ConfigurationFollower, instance=True
        )
        configuration.name = 'configuration'
        configuration.index = FleetIndex(FLEET)
        client = HttpClient('client')
        self.addAsyncCleanup(client.stop)
        registry.register(configuration)
        registry.register(client)
        names = [one.name for one in FLEET.upstreams if one.kind == kind]
        section = UpstreamSection(policy=names[0], address=self.address)
        reader = LoadReader('load', section)
        with mock.patch.object(TaskSupervisor, 'start'):
            await reader.start(registry)
        return reader

    async def test_used_share_of_the_cache(self) -> None:
        reader = await self.reader('engine')
        for body, share in BODIES:
            self.body = body
            await reader.read()
            self.assertEqual(reader.kv_use, share, body)

    async def test_a_service_is_not_asked(self) -> None:
        reader = await self.reader('service')
        await reader.read()
        self.assertEqual((self.asked, reader.kv_use), (0, 0))


if __name__ == '__main__':
    unittest.main()
