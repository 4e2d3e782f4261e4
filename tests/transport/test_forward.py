"""Guards against calls that meet an HTTP client while it stops.

The services of a process stop one after the other, and their tasks still run.
Such a call must neither break the stop, so that later services are not stopped,
nor open connections that nobody closes.
"""

from __future__ import annotations

import asyncio
import unittest

from aiohttp import ClientError, web

from snipebend.transport.forward import HttpClient, OutgoingRequest

HOST = '127.0.0.1'
TIMEOUT_S = 10.0


async def start_server(handler):
    """Return the runner of a server on loopback."""
    app = web.Application()
    app.router.add_get('/', handler)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, HOST, 0)
    await site.start()
    return runner


class TestStop(unittest.IsolatedAsyncioTestCase):
    """A stop ends while calls arrive and break."""

    async def asyncSetUp(self):
        self.received = asyncio.Event()
        runner = await start_server(self.never_respond)
        self.addAsyncCleanup(runner.cleanup)
        host, port = runner.addresses[0][:2]
        self.address = f'{host}:{port}'
        self.client = HttpClient('client')

    async def never_respond(self, req):
        self.received.set()
        await asyncio.sleep(TIMEOUT_S)

    async def call(self):
        """Call the server; retire its pool on failure, as all callers do."""
        outgoing = OutgoingRequest('GET', self.address, '/', {}, b'')
        try:
            async with self.client.send(outgoing) as response:
                await response.read()
        except ClientError:
            await self.client.retire(self.address)

    def open_during_close(self, peer, action):
        """Open a pool; run the action while its session closes."""
        session = self.client.session(peer)
        close = session.close

        async def close_after_action():
            await action()
            await close()

        session.close = close_after_action

    async def test_call_that_the_stop_breaks_does_not_break_the_stop(self):
        call = asyncio.create_task(self.call())
        await asyncio.wait_for(self.received.wait(), TIMEOUT_S)

        async def wait_for_call():
            await asyncio.wait((call,), timeout=TIMEOUT_S)

        self.open_during_close('other:1', wait_for_call)
        await asyncio.wait_for(self.client.stop(), TIMEOUT_S)
        self.assertTrue(call.done())

    async def test_call_during_the_stop_opens_no_connection(self):
        async def call_another():
            with self.assertRaises(ClientError):
                self.client.session('late:1')

        self.open_during_close('other:1', call_another)
        await asyncio.wait_for(self.client.stop(), TIMEOUT_S)
        self.assertEqual(self.client.dump(), {})


if __name__ == '__main__':
    unittest.main()
