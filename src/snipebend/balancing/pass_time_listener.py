"""Hears from entries how long passes of groups take."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from loguru import logger
from msgspec import msgpack

from snipebend.kernel.service import Service
from snipebend.settings.seeds import split_address
from snipebend.state.pace_news import PacesTold

if TYPE_CHECKING:
    from snipebend.experts.group_pass_times import GroupPassTimes
    from snipebend.kernel.registry import Registry
    from snipebend.transport.rpc_server import RpcServer


class PassTimeListener(Service, asyncio.DatagramProtocol):
    """Takes datagrams at the gRPC server's address."""

    def __init__(
        self, name: str, server: RpcServer, paces: GroupPassTimes
    ) -> None:
        """Keep where to listen, and who takes over what is told."""
        super().__init__(name)
        self._server = server
        self._pass_times = paces
        self._decoder = msgpack.Decoder(PacesTold)
        #: The last message of each entry: when it started, and the number.
        self._last: dict[str, tuple[float, int]] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, registry: Registry) -> None:
        """Listen; without the address, groups are looked at now and then."""
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
        """Take over what an entry saw since its last message."""
        try:
            told = self._decoder.decode(data)
        except msgspec.DecodeError as exc:
            logger.warning(
                'event=paces_unreadable peer={} error={!r}', addr, str(exc)
            )
            return
        stamp = (told.started_at, told.number)
        if stamp <= self._last.get(told.entry, (0, 0)):
            return
        self._last[told.entry] = stamp
        now = self._clock.now()
        for group, (events, seconds) in told.paces.items():
            self._pass_times.record(group, events, seconds, now)
