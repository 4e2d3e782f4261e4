"""The platform's programs as real processes, under faults."""

from __future__ import annotations

import asyncio
import signal
import tempfile
import unittest

from tests.platform.deployment import answer, config, deployment
from tests.programs import WAIT_TIMEOUT_S

PUT = '/-/config/put'
GET = '/-/config/get'


async def whole(req, writer):
    writer.write(answer(req))
    return True


class TestCalm(unittest.IsolatedAsyncioTestCase):
    """Configuration in, upstreams in, requests through."""

    async def test_the_whole_path(self):
        with tempfile.TemporaryDirectory() as folder:
            async with deployment(folder) as made:
                upstream = await made.start_upstream(whole)
                self.assertEqual(
                    (await made.call(PUT, config(4, '/a/')))[0], 200
                )
                self.assertEqual((await made.beat('i-1', upstream))[0], 200)
                got = await made.ask_until(200)
                self.assertEqual(got.body, b'whole')
                self.assertEqual((await made.ask(path='/b/')).status, 404)
                self.assertEqual((await made.ask(key='none')).status, 401)
                await self._check_changes(made)
                await self._check_leaving(made, upstream)

    async def _check_changes(self, made):
        newer = config(9, '/a/', '/b/')
        self.assertEqual((await made.call(PUT, newer))[0], 200)
        await made.ask_until(200, path='/b/')
        older = config(7, '/c/')
        self.assertEqual((await made.call(PUT, older))[0], 200)
        self.assertEqual((await made.call(PUT, b'{"version": 12'))[0], 400)
        for host in made.controls:
            read = await made.call(GET, hosts=(host,))
            self.assertEqual(read, (200, newer))

    async def _check_leaving(self, made, upstream):
        await made.beat('i-1', upstream, state='draining')
        self.assertEqual((await made.ask_until(503)).status, 503)
        await made.beat('i-1', upstream)
        await made.beat('i-2', upstream)
        await made.ask_until(200)
        served_by = upstream.requests[-1].headers['snipebend-expect-replica']
        self.assertEqual(served_by, 'i-2')


class TestControl(unittest.IsolatedAsyncioTestCase):
    """Nothing acknowledged is lost, and the group heals itself."""

    async def test_all_killed_at_once(self):
        with tempfile.TemporaryDirectory() as folder:
            async with deployment(folder) as made:
                upstream = await made.start_upstream(whole)
                body = config(4, '/a/')
                await made.call(PUT, body)
                await made.beat('i-1', upstream)
                await made.beat('i-1', upstream, state='draining')
                for program in made.controls.values():
                    await program.kill()
                await asyncio.gather(
                    *(made.start_control(host) for host in made.controls)
                )
                self.assertEqual(await made.call(GET), (200, body))
                await made.beat('i-1', upstream)
                await made.ask_until(503)
                self.assertEqual(upstream.requests, [])

    async def test_a_wiped_disk_then_another_one(self):
        with tempfile.TemporaryDirectory() as folder:
            async with deployment(folder) as made:
                body = config(4, '/a/')
                await made.call(PUT, body)
                for host in tuple(made.controls)[:2]:
                    await made.controls[host].kill()
                    made.wipe(host)
                    await made.start_control(host)
                    await self._until_voters(made, set(made.controls))
                for host in made.controls:
                    read = await made.call(GET, hosts=(host,))
                    self.assertEqual(read, (200, body))

    async def test_a_daemon_replaced_at_another_address(self):
        with tempfile.TemporaryDirectory() as folder:
            async with deployment(folder) as made:
                body = config(4, '/a/')
                await made.call(PUT, body)
                lost = made.controls.pop('127.0.0.1')
                await lost.kill()
                await made.start_control('127.0.0.4')
                await self._until_voters(made, set(made.controls))
                second = made.controls.pop('127.0.0.2')
                await second.kill()
                self.assertEqual(await made.call(GET), (200, body))
                newer = config(5, '/a/')
                self.assertEqual((await made.call(PUT, newer))[0], 200)

    async def _until_voters(self, made, hosts):
        """Wait until the group's voters are just these."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                dumps = [await made.dump(host) for host in sorted(hosts)]
                voters = [set(one['state'].get('voters', ())) for one in dumps]
                if all(one == hosts for one in voters):
                    return
                await asyncio.sleep(0.1)


class TestEntry(unittest.IsolatedAsyncioTestCase):
    """Signals to an entry."""

    async def test_reload_and_stop_under_a_request(self):
        go_on = asyncio.Event()
        started = asyncio.Event()

        async def slow(req, writer):
            started.set()
            await go_on.wait()
            writer.write(answer(req))
            return True

        with tempfile.TemporaryDirectory() as folder:
            async with deployment(folder) as made:
                upstream = await made.start_upstream(slow)
                await made.call(PUT, config(4, '/a/'))
                await made.beat('i-1', upstream)
                await made.entry.wait_for_line('event=upstream_seen', 'i-1')
                asking = asyncio.create_task(made.ask_until(200))
                await asyncio.wait_for(started.wait(), WAIT_TIMEOUT_S)
                made.entry.send(signal.SIGHUP)
                await made.entry.wait_for_line('event=reload_asked')
                made.entry.send(signal.SIGTERM)
                await made.entry.wait_for_line('event=draining')
                go_on.set()
                self.assertEqual((await asking).body, b'whole')
                code = await made.entry.wait()
                self.assertEqual(code, 0, made.entry.log[-20:])
