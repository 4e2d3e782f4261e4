"""Detects faults that only show in the real programs together.

Control daemons are killed all at once, lose their disks or are replaced at
another address; an entry is reloaded and stopped during a request. Acknowledged
changes must survive, and no request in progress may be cut off.
"""

from __future__ import annotations

import asyncio
import signal
import tempfile
import unittest

from tests.platform.deployment import answer, config, deployment
from tests.programs import WAIT_TIMEOUT_S

PUT = '/-/config/put'
GET = '/-/config/get'


async def serve(req, writer):
    writer.write(answer(req))
    return True


class TestWithoutFaults(unittest.IsolatedAsyncioTestCase):
    """Configuration, heartbeats and requests work without faults."""

    async def test_configuration_heartbeats_and_requests(self):
        with tempfile.TemporaryDirectory() as folder:
            async with deployment(folder) as cluster:
                upstream = await cluster.start_upstream(serve)
                self.assertEqual(
                    (await cluster.call(PUT, config(4, '/a/')))[0], 200
                )
                self.assertEqual(
                    (await cluster.send_heartbeat('i-1', upstream))[0], 200
                )
                response = await cluster.send_until(200)
                self.assertEqual(response.body, b'whole')
                self.assertEqual(
                    (await cluster.send_request(path='/b/')).status, 404
                )
                self.assertEqual(
                    (await cluster.send_request(key='none')).status, 401
                )
                await self._check_changes(cluster)
                await self._check_leaving(cluster, upstream)

    async def _check_changes(self, cluster):
        newer = config(9, '/a/', '/b/')
        self.assertEqual((await cluster.call(PUT, newer))[0], 200)
        await cluster.send_until(200, path='/b/')
        older = config(7, '/c/')
        self.assertEqual((await cluster.call(PUT, older))[0], 200)
        self.assertEqual((await cluster.call(PUT, b'{"version": 12'))[0], 400)
        for host in cluster.controls:
            read = await cluster.call(GET, hosts=(host,))
            self.assertEqual(read, (200, newer))

    async def _check_leaving(self, cluster, upstream):
        await cluster.send_heartbeat('i-1', upstream, state='draining')
        self.assertEqual((await cluster.send_until(503)).status, 503)
        await cluster.send_heartbeat('i-1', upstream)
        await cluster.send_heartbeat('i-2', upstream)
        await cluster.send_until(200)
        served_by = upstream.requests[-1].headers['snipebend-expect-replica']
        self.assertEqual(served_by, 'i-2')


class TestControl(unittest.IsolatedAsyncioTestCase):
    """Acknowledged changes survive, and the group replaces lost members."""

    async def test_all_killed_at_once(self):
        with tempfile.TemporaryDirectory() as folder:
            async with deployment(folder) as cluster:
                upstream = await cluster.start_upstream(serve)
                body = config(4, '/a/')
                await cluster.call(PUT, body)
                await cluster.send_heartbeat('i-1', upstream)
                await cluster.send_heartbeat('i-1', upstream, state='draining')
                for program in cluster.controls.values():
                    await program.kill()
                await asyncio.gather(
                    *(cluster.start_control(host) for host in cluster.controls)
                )
                self.assertEqual(await cluster.call(GET), (200, body))
                await cluster.send_heartbeat('i-1', upstream)
                await cluster.send_until(503)
                self.assertEqual(upstream.requests, [])

    async def test_two_wiped_disks_in_turn(self):
        with tempfile.TemporaryDirectory() as folder:
            async with deployment(folder) as cluster:
                body = config(4, '/a/')
                await cluster.call(PUT, body)
                for host in tuple(cluster.controls)[:2]:
                    await cluster.controls[host].kill()
                    cluster.wipe(host)
                    await cluster.start_control(host)
                    await self._until_voters(cluster, set(cluster.controls))
                for host in cluster.controls:
                    read = await cluster.call(GET, hosts=(host,))
                    self.assertEqual(read, (200, body))

    async def test_daemon_replaced_at_another_address(self):
        with tempfile.TemporaryDirectory() as folder:
            async with deployment(folder) as cluster:
                body = config(4, '/a/')
                await cluster.call(PUT, body)
                lost = cluster.controls.pop('127.0.0.1')
                await lost.kill()
                await cluster.start_control('127.0.0.4')
                await self._until_voters(cluster, set(cluster.controls))
                second = cluster.controls.pop('127.0.0.2')
                await second.kill()
                self.assertEqual(await cluster.call(GET), (200, body))
                newer = config(5, '/a/')
                self.assertEqual((await cluster.call(PUT, newer))[0], 200)

    async def _until_voters(self, cluster, hosts):
        """Wait until all daemons report exactly these voters."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                dumps = [await cluster.dump(host) for host in sorted(hosts)]
                voters = [
                    set(dump['state'].get('voters', ())) for dump in dumps
                ]
                if all(names == hosts for names in voters):
                    return
                await asyncio.sleep(0.1)


class TestEntry(unittest.IsolatedAsyncioTestCase):
    """An entry handles SIGHUP, and SIGTERM during a request."""

    async def test_reload_and_stop_under_a_request(self):
        go_on = asyncio.Event()
        started = asyncio.Event()

        async def slow(req, writer):
            started.set()
            await go_on.wait()
            writer.write(answer(req))
            return True

        with tempfile.TemporaryDirectory() as folder:
            async with deployment(folder) as cluster:
                upstream = await cluster.start_upstream(slow)
                await cluster.call(PUT, config(4, '/a/'))
                await cluster.send_heartbeat('i-1', upstream)
                await cluster.entry.wait_for_line('event=upstream_seen', 'i-1')
                request = asyncio.create_task(cluster.send_until(200))
                await asyncio.wait_for(started.wait(), WAIT_TIMEOUT_S)
                cluster.entry.send(signal.SIGHUP)
                await cluster.entry.wait_for_line('event=reload_asked')
                cluster.entry.send(signal.SIGTERM)
                await cluster.entry.wait_for_line('event=draining')
                go_on.set()
                self.assertEqual((await request).body, b'whole')
                code = await cluster.entry.wait()
                self.assertEqual(code, 0, cluster.entry.log[-20:])
