"""The configuration as entries and agents follow it from control."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING

from loguru import logger

from snipebend.errors.hierarchy import UnavailableError
from snipebend.fleet.lookup import FleetIndex
from snipebend.fleet.parsing import parse_fleet
from snipebend.kernel.service import Service
from snipebend.state.messages import Configuration, WatchRequest
from snipebend.transport.methods import WATCH
from snipebend.transport.rpc import RpcClients

if TYPE_CHECKING:
    from snipebend.kernel.registry import Registry

#: Seconds before the next control daemon is tried.
RETRY_DELAY_S = 0.2


class ConfigurationFollower(Service):
    """Keeps the newest configuration; its revision only grows."""

    def __init__(
        self,
        name: str,
        process_name: str,
        control: Sequence[str],
        clients: RpcClients,
    ) -> None:
        """Keep the control daemons' addresses."""
        super().__init__(name)
        self.revision = 0
        self.index: FleetIndex | None = None
        self._process_name = process_name
        self._control = tuple(control)
        self._clients = clients

    async def start(self, registry: Registry) -> None:
        """Start to follow."""
        registry.tasks.start('follow-configuration', self._follow)

    def ready(self) -> bool:
        """Tell whether any configuration is in force here."""
        return self.index is not None

    def dump(self) -> Mapping[str, object]:
        """Return the revision."""
        return {'revision': self.revision}

    async def _follow(self) -> None:
        while True:
            for peer in self._control:
                await self._follow_one(peer)
            await asyncio.sleep(RETRY_DELAY_S)

    async def _follow_one(self, peer: str) -> None:
        req = WatchRequest(self._process_name, self.revision)
        try:
            async for configuration in self._clients.stream(peer, WATCH, req):
                self._accept(configuration)
        except UnavailableError as exc:
            logger.warning('event=control_lost peer={} reason={!r}', peer, exc)

    def _accept(self, configuration: Configuration) -> None:
        if configuration.revision <= self.revision:
            return
        parsed = parse_fleet(configuration.text, 'control')
        if parsed.is_err():
            logger.error('event=configuration_unreadable')
            return
        self.index = FleetIndex(parsed.unwrap())
        self.revision = configuration.revision
        logger.info('event=configuration revision={}', self.revision)
