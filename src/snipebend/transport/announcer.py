"""The agent's announcements of its upstream to every control daemon."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Sequence
from functools import partial
from typing import TYPE_CHECKING

from loguru import logger

from snipebend.errors.hierarchy import UnavailableError
from snipebend.kernel.service import Service
from snipebend.membership.messages import Announcement, Phase
from snipebend.transport.configuration_follower import (
    RETRY_DELAY_S,
    ConfigurationFollower,
)
from snipebend.transport.http_server import HttpServer
from snipebend.transport.load_reader import LoadReader
from snipebend.transport.methods import ANNOUNCE
from snipebend.transport.rpc_clients import RpcClients
from snipebend.transport.rpc_server import RpcServer
from snipebend.transport.upstream_api import UpstreamRelay
from snipebend.transport.upstream_probe import UpstreamProbe

if TYPE_CHECKING:
    from snipebend.kernel.registry import Registry
    from snipebend.settings.model import AgentSettings

#: Seconds that a leaving agent waits for the control daemons to hear it.
LEAVE_PATIENCE_S = 1.0


class Announcer(Service):
    """Announces the upstream until it has left."""

    def __init__(
        self,
        name: str,
        cfg: AgentSettings,
        clients: RpcClients,
    ) -> None:
        """Keep the settings."""
        super().__init__(name)
        self._cfg = cfg
        self._control: Sequence[str] = cfg.control.addresses
        self._clients = clients
        self._phase = Phase.SERVING
        self._sequence = 0
        self._wake = asyncio.Event()
        self._told = 0
        self._all_told = asyncio.Event()

    async def start(self, registry: Registry) -> None:
        """Find what is announced and begin."""
        self._http = registry.find('http', HttpServer)
        self._grpc = registry.find('grpc', RpcServer)
        self._relay = registry.find('relay', UpstreamRelay)
        self._probe = registry.find('probe', UpstreamProbe)
        self._load = registry.find('load', LoadReader)
        self._configuration = registry.find(
            'configuration',
            ConfigurationFollower,
        )
        for peer in self._control:
            registry.tasks.start(
                f'announce-{peer}',
                partial(self._announce_to, peer),
            )

    async def drain(self) -> None:
        """Tell the control daemons at once that the upstream is leaving.

        A daemon that can't be reached isn't waited for: the lease of the
        announcement ends there by itself.
        """
        self._phase = Phase.LEAVING
        self._wake.set()
        try:
            async with asyncio.timeout(LEAVE_PATIENCE_S):
                await self._all_told.wait()
        except TimeoutError:
            logger.warning('event=leaving_untold told={}', self._told)

    async def _announce_to(self, peer: str) -> None:
        while True:
            try:
                await self._clients.send_stream(
                    peer, ANNOUNCE, self._announcements()
                )
            except UnavailableError as exc:
                logger.debug('event=announce_lost error={!r}', exc)
            await asyncio.sleep(RETRY_DELAY_S)

    async def _announcements(self) -> AsyncIterator[Announcement]:
        while True:
            self._sequence += 1
            announcement = self._compose()
            yield announcement
            if announcement.phase is Phase.LEAVING:
                self._count_told()
            await self._pause()

    def _count_told(self) -> None:
        self._told += 1
        if self._told >= len(self._control):
            self._all_told.set()

    async def _pause(self) -> None:
        """Wait for the next turn, which a change of phase brings forward."""
        span = self._cfg.upstream.report_every_s
        if self._phase is Phase.LEAVING:
            await asyncio.sleep(span)
            return
        try:
            async with asyncio.timeout(span):
                await self._wake.wait()
        except TimeoutError:
            return

    def _present_phase(self) -> Phase:
        if self._phase is Phase.SERVING and self._probe.is_down():
            return Phase.DOWN
        return self._phase

    def _compose(self) -> Announcement:
        return Announcement(
            upstream=self._cfg.process.name,
            policy=self._cfg.upstream.policy,
            data_center=self._cfg.process.data_center,
            http_address=self._cfg.listen.public_http or self._http.address,
            grpc_address=self._cfg.listen.public_grpc or self._grpc.address,
            incarnation=self._relay.incarnation,
            sequence=self._sequence,
            phase=self._present_phase(),
            running=self._relay.running,
            revision=self._configuration.revision,
            kv_use=self._load.kv_use,
        )
