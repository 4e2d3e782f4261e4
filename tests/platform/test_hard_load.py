"""Guards against parts that undo each other when hard load meets an order.

While a data centre is evacuated, the upstreams that are left are full. Requests
without room must reach neither the evacuated ones nor the others beyond their
slots, and are served once there is room.
"""

from __future__ import annotations

import asyncio
import tempfile
import unittest

from tests.platform.deployment import (
    CONFIG_SERVICE,
    ENTRY_HOST,
    POLL_S,
    answer,
    config,
    deployment,
)
from tests.programs import WAIT_TIMEOUT_S

#: As heartbeats of the test's deployments announce them.
SLOTS = 4
#: Requests beyond these slots.
EXCESS = 6
SETTINGS = '[relay.admission]\n[relay.cold]\nextra_requests = 100\n'


async def serve(req, writer):
    writer.write(answer(req))
    return True


def holding(release):
    """Return a script that responds once ``release`` is set."""

    async def hold(req, writer):
        await release.wait()
        writer.write(answer(req))
        return True

    return hold


async def wait_received(upstream, requests):
    """Wait until an upstream has received so many requests."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while len(upstream.requests) < requests:
            await asyncio.sleep(POLL_S)


async def wait_waiting(cluster, requests):
    """Wait until so many requests wait for room at the entry."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while True:
            dump = (await cluster.dump(ENTRY_HOST))['relay']['admission']
            waiting = dump[CONFIG_SERVICE]['waiting']
            if sum(waiting.values()) == requests:
                return
            await asyncio.sleep(POLL_S)


class TestHardLoad(unittest.IsolatedAsyncioTestCase):
    """An evacuation and too little room at once."""

    async def test_evacuation_leaves_too_little_room(self):
        release = asyncio.Event()
        with tempfile.TemporaryDirectory() as folder:
            async with deployment(
                folder, ('dc-a', 'dc-b'), SETTINGS
            ) as cluster:
                near = await cluster.start_upstream(serve)
                far = await cluster.start_upstream(holding(release))
                await cluster.call('/-/config/put', config(4, '/a/'))
                await cluster.send_heartbeat('i-near', near)
                await cluster.send_until(200)
                await cluster.call('/-/evacuate/dc-a/start', b'')
                await cluster.send_until(503)
                received = len(near.requests)
                await cluster.send_heartbeat('i-far', far, zone='dc-b')
                statuses = await self.overload(cluster, far, release)
                self.assertEqual(statuses, {200})
                self.assertEqual(len(near.requests), received)
                await cluster.call('/-/evacuate/dc-a/end', b'')
                await wait_received(near, received)
                await cluster.send_until(200)

    async def overload(self, cluster, far, release):
        """Send more than an upstream can run; return the statuses."""
        held = [self.send(cluster, f'h{number}') for number in range(SLOTS)]
        await wait_received(far, SLOTS)
        excess = [self.send(cluster, f'x{number}') for number in range(EXCESS)]
        await wait_waiting(cluster, EXCESS)
        self.assertEqual(len(far.requests), SLOTS)
        release.set()
        responses = await asyncio.gather(*held, *excess)
        return {response.status for response in responses}

    def send(self, cluster, request_id):
        return asyncio.ensure_future(self.retry(cluster, request_id))

    async def retry(self, cluster, request_id):
        """Send a request, again while the entry doesn't know the upstream."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                response = await cluster.send_request(request_id=request_id)
                if b'evacuated' not in response.body:
                    return response
                await asyncio.sleep(POLL_S)


if __name__ == '__main__':
    unittest.main()
