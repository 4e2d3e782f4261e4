"""Guards against calls that hang, leak memory or hide which peer failed.

A caller disconnects during a long reply, a reader stops reading, a peer is lost
or drops the packets of a new connection. The tests make gRPC calls with all
kinds of streaming over sockets.
"""

from __future__ import annotations

import asyncio
import gc
import unittest
from typing import TYPE_CHECKING
from unittest import mock

from msgspec import Struct

from snipebend.errors.hierarchy import UnavailableError
from snipebend.kernel.clock import SystemClock
from snipebend.kernel.registry import Registry
from snipebend.kernel.tasks import TaskSupervisor
from snipebend.transport import rpc_clients
from snipebend.transport.rpc import WINDOW_BYTES, Method
from snipebend.transport.rpc_clients import RpcClients
from snipebend.transport.rpc_server import Endpoint, RpcServer
from tests.byte_counting_link import ByteCountingLink
from tests.programs import WAIT_TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class _Number(Struct, frozen=True):
    number: int


class _Text(Struct, frozen=True):
    text: bytes


#: Size in bytes that exceeds every flow-control window.
_LONG_BYTES = 8 * 1024 * 1024


_DOUBLE = Method('/test/Double', _Number, _Number)
_COUNT = Method('/test/Count', _Number, _Number, streams_replies=True)
_FLOOD = Method('/test/Flood', _Number, _Text, streams_replies=True)
_SUM = Method('/test/Sum', _Number, _Number, streams_requests=True)


async def _double(req: _Number) -> _Number:
    return _Number(req.number * 2)


async def _count(req: _Number) -> AsyncIterator[_Number]:
    for number in range(req.number):
        yield _Number(number)


async def _sum(requests: AsyncIterator[_Number]) -> _Number:
    return _Number(sum([req.number async for req in requests]))


class UnresponsiveChannel:
    """A channel whose connection attempt never completes."""

    async def __connect__(self) -> None:
        await asyncio.Event().wait()

    def close(self) -> None:
        """Do nothing, as no connection is open."""


class RpcTest(unittest.IsolatedAsyncioTestCase):
    """Calls to a server with all kinds of streaming."""

    async def asyncSetUp(self) -> None:
        self.server = RpcServer('grpc', '127.0.0.1', 0)
        self.server.add(
            Endpoint(_DOUBLE, _double),
            Endpoint(_COUNT, _count),
            Endpoint(_SUM, _sum),
        )
        await self.server.start(Registry(SystemClock(), TaskSupervisor()))
        self.clients = RpcClients()

    async def asyncTearDown(self) -> None:
        self.clients.close()
        await self.server.stop()

    async def test_every_kind_of_streaming(self) -> None:
        peer = self.server.address
        doubled = await self.clients.call(peer, _DOUBLE, _Number(4), timeout=10)
        self.assertEqual(doubled.unwrap().number, 8)
        counted = [
            reply.number
            async for reply in self.clients.stream(peer, _COUNT, _Number(3))
        ]
        self.assertEqual(counted, [0, 1, 2])
        summed = await self.clients.send_stream(peer, _SUM, _count(_Number(5)))
        self.assertEqual(summed.number, 10)

    async def test_reply_stream_ends_when_its_caller_disconnects(self) -> None:
        """A reply stream is closed as soon as its caller disconnects.

        When it was left to garbage collection, it held the reply in memory:
        control daemons grew by 10 to 25 MB per second up to their memory limit
        while entries repeatedly opened watches of a large document. Of 90
        closed watches, 30 never logged their end.
        """
        ended = asyncio.Event()

        async def flood(_: _Number) -> AsyncIterator[_Text]:
            try:
                while True:
                    yield _Text(bytes(_LONG_BYTES))
            finally:
                ended.set()

        server = RpcServer('flood', '127.0.0.1', 0)
        server.add(Endpoint(_FLOOD, flood))
        await server.start(Registry(SystemClock(), TaskSupervisor()))
        self.addAsyncCleanup(server.stop)
        self.addCleanup(gc.enable)
        gc.disable()
        stream = self.clients.stream(server.address, _FLOOD, _Number(0))
        await anext(stream)
        self.clients.retire(server.address)
        await asyncio.wait_for(ended.wait(), WAIT_TIMEOUT_S)

    async def test_unread_data_is_bounded_by_the_window(self) -> None:
        """Pings wait behind unread data.

        A link in use must not count as unresponsive.
        """

        async def flood(_: _Number) -> AsyncIterator[_Text]:
            yield _Text(bytes(_LONG_BYTES))

        await self.server.stop()
        self.server = RpcServer('grpc', '127.0.0.1', 0)
        self.server.add(Endpoint(_FLOOD, flood), Endpoint(_DOUBLE, _double))
        await self.server.start(Registry(SystemClock(), TaskSupervisor()))
        carried = asyncio.Event()
        link = ByteCountingLink(
            self.server.address, on_returned=carried.set, forwards_replies=False
        )
        await self.enterAsyncContext(link)
        stream = self.clients.stream(link.address, _FLOOD, _Number(0))
        first = asyncio.create_task(anext(stream))
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while link.returned_bytes < WINDOW_BYTES:
                carried.clear()
                await carried.wait()
        for _ in range(20):
            await self.clients.call(
                self.server.address, _DOUBLE, _Number(1), timeout=10
            )
        self.assertLess(link.returned_bytes, 2 * WINDOW_BYTES)
        first.cancel()
        await asyncio.wait([first])

    async def test_connect_timeout_doubles_while_a_peer_drops_packets(
        self,
    ) -> None:
        """A VM without power drops SYN packets.

        The kernel resends them only after 1 s.
        """
        peer = self.server.address
        with mock.patch.object(rpc_clients, 'CONNECT_TIMEOUT_S', 0.01):
            for tries in range(3):
                self.clients._channels[peer] = UnresponsiveChannel()
                called = await self.clients.call(
                    peer, _DOUBLE, _Number(1), timeout=60
                )
                self.assertTrue(called.is_err())
                waits_s = self.clients._connect_timeouts_s[peer]
                self.assertAlmostEqual(waits_s, 0.02 * 2**tries)
            called = await self.clients.call(
                peer, _DOUBLE, _Number(1), timeout=60
            )
        self.assertEqual(called.unwrap(), _Number(2))
        self.assertEqual(self.clients._connect_timeouts_s, {})

    async def test_a_lost_peer_is_an_error_with_step_and_peer(self) -> None:
        await self.server.stop()
        peer = self.server.address
        answer = await self.clients.call(peer, _DOUBLE, _Number(1), timeout=10)
        exc = answer.unwrap_err()
        self.assertEqual((exc.step, exc.peer), ('/test/Double', peer))
        with self.assertRaises(UnavailableError):
            await self.clients.send_stream(peer, _SUM, _count(_Number(1)))
