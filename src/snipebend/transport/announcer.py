"""Announces the upstream of an agent to every control daemon."""

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

#: Seconds that a draining agent waits until it has sent the control daemons
#: the announcement that it is leaving.
LEAVE_TIMEOUT_S = 1.0


class Announcer(Service):
    """Announces the upstream periodically until the agent stops."""

    def __init__(
        self,
        name: str,
        cfg: AgentSettings,
        clients: RpcClients,
    ) -> None:
        """Initialize with the upstream in the serving phase."""
        super().__init__(name)
        self._cfg = cfg
        self._control: Sequence[str] = cfg.control.addresses
        self._clients = clients
        self._phase = Phase.SERVING
        self._sequence = 0
        self._wake = asyncio.Event()
        self._notified = 0
        self._all_notified = asyncio.Event()

    async def start(self, registry: Registry) -> None:
        """Look up the announced services and start the announcements."""
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
        """Notify the control daemons immediately that the upstream is leaving.

        Waits at most ``LEAVE_TIMEOUT_S``: an unreachable daemon drops the
        upstream once the lease of the announcement expires there.
        """
        self._phase = Phase.LEAVING
        self._wake.set()
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await self._all_notified.wait()
        except TimeoutError:
            logger.warning('event=leaving_untold told={}', self._notified)

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
            announcement = self._build_announcement()
            yield announcement
            if announcement.phase is Phase.LEAVING:
                self._count_notified()
            await self._wait_for_next()

    def _count_notified(self) -> None:
        self._notified += 1
        if self._notified >= len(self._control):
            self._all_notified.set()

    async def _wait_for_next(self) -> None:
        """Wait until the next announcement is due; leaving ends the wait."""
        interval_s = self._cfg.upstream.report_every_s
        if self._phase is Phase.LEAVING:
            await asyncio.sleep(interval_s)
            return
        try:
            async with asyncio.timeout(interval_s):
                await self._wake.wait()
        except TimeoutError:
            return

    def _current_phase(self) -> Phase:
        if self._phase is Phase.SERVING and self._probe.is_down():
            return Phase.DOWN
        return self._phase

    def _build_announcement(self) -> Announcement:
        return Announcement(
            upstream=self._cfg.process.name,
            policy=self._cfg.upstream.policy,
            data_center=self._cfg.process.data_center,
            http_address=self._cfg.listen.public_http or self._http.address,
            grpc_address=self._cfg.listen.public_grpc or self._grpc.address,
            incarnation=self._relay.incarnation,
            sequence=self._sequence,
            phase=self._current_phase(),
            running=self._relay.running,
            revision=self._configuration.revision,
            kv_use=self._load.kv_use,
        )
