"""Guards against an evacuation that is lost, undone or not kept.

Control daemons are killed, frozen or wiped between an order, its commit and its
acknowledgement; operators resend orders to others, and entries restart or lose
control meanwhile. What was acknowledged last must hold everywhere.
"""

from __future__ import annotations

import asyncio
import random
import signal
import tempfile
import unittest
from contextlib import asynccontextmanager

from tests.edge.relay_fixture import read_response
from tests.platform.deployment import (
    POLL_S,
    answer,
    config,
    deployment,
)
from tests.programs import WAIT_TIMEOUT_S

START = '/-/evacuate/dc-a/start'
END = '/-/evacuate/dc-a/end'
DATA_CENTERS = ('dc-a', 'dc-b')


async def serve(req, writer):
    writer.write(answer(req))
    return True


@asynccontextmanager
async def serving():
    """Run a deployment that serves by one upstream, in ``dc-a``."""
    with tempfile.TemporaryDirectory() as folder:
        async with deployment(folder, DATA_CENTERS) as cluster:
            cluster.upstream = await cluster.start_upstream(serve)
            await cluster.call('/-/config/put', config(4, '/a/'))
            await cluster.send_heartbeat('i-1', cluster.upstream)
            await cluster.send_until(200)
            yield cluster


async def order(cluster, path, hosts=()):
    """Send an order until it is acknowledged."""
    status, _ = await cluster.call(path, b'', hosts)
    assert status == 200, status


async def find_leader(cluster):
    """Wait until one of the running daemons leads; return its host."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while True:
            for host in cluster.controls:
                if (await cluster.dump(host))['state'].get('role') == 'leader':
                    return host
            await asyncio.sleep(POLL_S)


async def wait_known(cluster, evacuated, hosts=()):
    """Wait until daemons have applied whether ``dc-a`` is evacuated."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        for host in hosts or tuple(cluster.controls):
            while await is_evacuated(cluster, host) is not evacuated:
                await asyncio.sleep(POLL_S)


async def is_evacuated(cluster, host):
    records = (await cluster.dump(host))['evacuations']['records']
    return records.get('dc-a', {}).get('evacuated', False)


async def wait_refused(cluster):
    """Send requests until one is refused since all is evacuated."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while True:
            response = await cluster.send_request()
            if b'evacuated' in response.body:
                return response
            await asyncio.sleep(POLL_S)


async def write_order(cluster, host, path):
    """Write an order on a new connection; return the connection."""
    reader, writer = await asyncio.open_connection(host, cluster.outer_port)
    writer.write(
        f'POST {path} HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n'.encode()
    )
    await writer.drain()
    return reader, writer


class EvacuationCase(unittest.IsolatedAsyncioTestCase):
    """Checks shared by the tests."""

    async def assert_nothing_sent(self, cluster):
        """The entry refuses, and its upstream gets nothing from now on."""
        response = await wait_refused(cluster)
        self.assertEqual(response.status, 503)
        received = len(cluster.upstream.requests)
        for _ in range(5):
            self.assertEqual((await cluster.send_request()).status, 503)
        self.assertEqual(len(cluster.upstream.requests), received)


class TestOrders(EvacuationCase):
    """Orders without faults, late ones, and those of two operators."""

    async def test_start_and_end(self):
        async with serving() as cluster:
            await order(cluster, START)
            await self.assert_nothing_sent(cluster)
            await order(cluster, START)
            await order(cluster, END)
            await cluster.send_until(200)
            for path in ('/-/evacuate/dc-x/start', '/-/evacuate/dc-x/end'):
                for host in cluster.controls:
                    status, _ = await cluster.call_one(host, path, b'')
                    self.assertEqual(status, 404)
            await order(cluster, '/-/evacuate/dc-b/start')
            await cluster.send_until(200)

    async def test_a_start_that_waited_in_a_frozen_daemon(self):
        async with serving() as cluster:
            frozen, *others = cluster.controls
            cluster.controls[frozen].send(signal.SIGSTOP)
            reader, writer = await write_order(cluster, frozen, START)
            await order(cluster, START, others)
            await order(cluster, END, others)
            cluster.controls[frozen].send(signal.SIGCONT)
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                response = await read_response(reader)
            writer.close()
            self.assertEqual(response.status, 503)
            await order(cluster, END, (frozen,))
            await wait_known(cluster, evacuated=False)

    async def test_an_order_whose_operator_has_left(self):
        async with serving() as cluster:
            host = next(iter(cluster.controls))
            _, writer = await write_order(cluster, host, START)
            writer.close()
            await cluster.controls[host].wait_for_line(
                'event=evacuation_answered', 'disconnected'
            )
            await order(cluster, END)
            self.assertEqual((await cluster.send_until(200)).status, 200)

    async def test_two_operators(self):
        async with serving() as cluster:
            rng = random.Random(7)
            for _ in range(6):
                await asyncio.gather(
                    *(
                        order(cluster, path, rng.sample(tuple(hosts), 3))
                        for path in (START, END)
                        for hosts in (cluster.controls,)
                    )
                )
            await order(cluster, END)
            await wait_known(cluster, evacuated=False)
            await order(cluster, START)
            await wait_known(cluster, evacuated=True)
            await self.assert_nothing_sent(cluster)


class TestControlFails(EvacuationCase):
    """An acknowledged order survives what daemons may lose."""

    async def test_leader_killed_after_the_commit(self):
        async with serving() as cluster:
            await order(cluster, START)
            await cluster.controls.pop(await find_leader(cluster)).kill()
            await order(cluster, START)
            await self.assert_nothing_sent(cluster)
            await order(cluster, END)
            await cluster.send_until(200)

    async def test_majority_lost_then_the_leader_before_the_commit(self):
        async with serving() as cluster:
            leader = await find_leader(cluster)
            others = [host for host in cluster.controls if host != leader]
            for host in others:
                cluster.controls[host].send(signal.SIGSTOP)
            status, _ = await cluster.call_one(leader, START, b'')
            self.assertEqual(status, 503)
            await cluster.controls.pop(leader).kill()
            for host in others:
                cluster.controls[host].send(signal.SIGCONT)
            await order(cluster, START)
            await wait_known(cluster, evacuated=True)
            await self.assert_nothing_sent(cluster)

    async def test_all_killed_right_after_the_acknowledgement(self):
        async with serving() as cluster:
            await order(cluster, START)
            for program in (cluster.entry, *cluster.controls.values()):
                await program.kill()
            await asyncio.gather(
                cluster.start_entry(),
                *(cluster.start_control(host) for host in cluster.controls),
            )
            received = len(cluster.upstream.requests)
            await self.assert_nothing_sent(cluster)
            self.assertEqual(len(cluster.upstream.requests), received)
            await order(cluster, END)
            await cluster.send_until(200)

    async def test_a_wiped_disk_beside_a_killed_leader(self):
        async with serving() as cluster:
            await order(cluster, START)
            leader = await find_leader(cluster)
            wiped = next(host for host in cluster.controls if host != leader)
            await cluster.controls[wiped].kill()
            cluster.wipe(wiped)
            await cluster.start_control(wiped)
            await wait_known(cluster, evacuated=True, hosts=(wiped,))
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                voters = set()
                while voters != set(cluster.controls):
                    dumped = await cluster.dump(wiped)
                    voters = set(dumped['state'].get('voters', ()))
                    await asyncio.sleep(POLL_S)
            await cluster.controls.pop(leader).kill()
            await order(cluster, START, (wiped,))
            await wait_known(cluster, evacuated=True)
            await self.assert_nothing_sent(cluster)


class TestEntryFails(EvacuationCase):
    """An entry sends nothing there that has restarted or lost control."""

    async def test_entry_restarted_within_an_evacuation(self):
        async with serving() as cluster:
            await order(cluster, START)
            await wait_refused(cluster)
            received = len(cluster.upstream.requests)
            await cluster.entry.kill()
            await cluster.start_entry()
            await wait_refused(cluster)
            self.assertEqual(len(cluster.upstream.requests), received)

    async def test_entry_without_control_keeps_what_it_knew(self):
        async with serving() as cluster:
            await order(cluster, START)
            await wait_refused(cluster)
            for program in cluster.controls.values():
                program.send(signal.SIGSTOP)
            await cluster.entry.wait_for_line('event=control_lost')
            await self.assert_nothing_sent(cluster)
            for program in cluster.controls.values():
                program.send(signal.SIGCONT)
            await order(cluster, END)
            await cluster.send_until(200)

    async def test_entry_that_stood_still_across_the_order(self):
        async with serving() as cluster:
            cluster.entry.send(signal.SIGSTOP)
            await order(cluster, START)
            cluster.entry.send(signal.SIGCONT)
            await cluster.entry.wait_for_line('event=evacuation_in_force')
            await self.assert_nothing_sent(cluster)


if __name__ == '__main__':
    unittest.main()
