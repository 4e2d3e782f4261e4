"""Receives the pass times of groups from entries."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from loguru import logger
from msgspec import msgpack

from snipebend.kernel.service import Service
from snipebend.settings.seeds import split_address
from snipebend.state.pass_times import PassTimesReport

if TYPE_CHECKING:
    from snipebend.experts.group_pass_times import GroupPassTimes
    from snipebend.kernel.registry import Registry
    from snipebend.transport.rpc_server import RpcServer


class PassTimeListener(Service, asyncio.DatagramProtocol):
    """Records the pass times that entries send in UDP datagrams.

    The UDP socket has the address of the gRPC server. Messages that arrive
    twice, or after a later one of the same entry, are ignored.
    """

    def __init__(
        self, name: str, server: RpcServer, pass_times: GroupPassTimes
    ) -> None:
        """Create the service; received times go to ``pass_times``."""
        super().__init__(name)
        self._server = server
        self._pass_times = pass_times
        self._decoder = msgpack.Decoder(PassTimesReport)
        #: Start time and number of the last message of each entry.
        self._last_stamps: dict[str, tuple[float, int]] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, registry: Registry) -> None:
        """Bind the socket; if that fails, groups are checked periodically."""
        self._clock = registry.clock
        address = split_address(self._server.address)
        loop = asyncio.get_running_loop()
        try:
            transport, _ = await loop.create_datagram_endpoint(
                lambda: self, local_addr=address
            )
        except OSError as exc:
            logger.warning(
                'event=paces_unheard address={} error={!r}',
                self._server.address,
                str(exc),
            )
            return
        self._transport = transport

    async def stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Record the passes that an entry observed since its last message."""
        try:
            message = self._decoder.decode(data)
        except msgspec.DecodeError as exc:
            logger.warning(
                'event=paces_unreadable peer={} error={!r}', addr, str(exc)
            )
            return
        stamp = (message.started_at, message.number)
        if stamp <= self._last_stamps.get(message.entry, (0, 0)):
            return
        self._last_stamps[message.entry] = stamp
        now = self._clock.now()
        for group, (events, seconds) in message.pass_times.items():
            self._pass_times.record(group, events, seconds, now)
