"""Follows the directory and confirms the entry's configuration."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Mapping
from functools import partial
from typing import TYPE_CHECKING

from loguru import logger

from snipebend.errors.hierarchy import UnavailableError
from snipebend.kernel.service import Service
from snipebend.membership.directory_delta import DirectoryCopy
from snipebend.membership.messages import Announcement, DirectoryRequest
from snipebend.transport.configuration_follower import (
    RETRY_DELAY_S,
    ConfigurationFollower,
)
from snipebend.transport.methods import CONFIRM, WATCH_DIRECTORY
from snipebend.transport.rpc_clients import RpcClients

if TYPE_CHECKING:
    from snipebend.kernel.registry import Registry
    from snipebend.settings.model import EntrySettings

#: Seconds between two confirmations of the revision in force here; a new
#: revision is confirmed immediately.
CONFIRM_INTERVAL_S = 1.0


class DirectoryFollower(Service):
    """Keeps a copy of the directory from whichever control daemon responds.

    While no daemon responds, the last copy is kept: the entry continues to
    serve with the upstreams it has, and detects dead ones itself.
    """

    def __init__(
        self,
        name: str,
        cfg: EntrySettings,
        clients: RpcClients,
    ) -> None:
        """Initialize with an empty copy of the directory."""
        super().__init__(name)
        self._process_name = cfg.process.name
        self._control = tuple(cfg.control.addresses)
        self._max_upstreams = cfg.connections.max_upstreams
        self._clients = clients
        self._copy = DirectoryCopy()
        #: Incremented with each applied difference.
        self.version = 0
        #: When the last difference was applied, on the clock of this process.
        self.received_at: float = 0

    async def start(self, registry: Registry) -> None:
        """Start following the directory and confirming the configuration."""
        self._clock = registry.clock
        self._configuration = registry.find(
            'configuration',
            ConfigurationFollower,
        )
        registry.tasks.start('follow-directory', self._follow)
        for peer in self._control:
            registry.tasks.start(
                f'confirm-{peer}',
                partial(self._confirm_to, peer),
            )

    def entries(self) -> int:
        """Return how many entries share the limits of the fleet file."""
        return self._copy.entries

    def upstreams(self) -> tuple[Announcement, ...]:
        """Return the upstreams in the current copy."""
        return self._copy.upstreams()

    def dump(self) -> Mapping[str, object]:
        """Return the upstreams and their phases."""
        return {
            upstream.upstream: upstream.phase.value
            for upstream in self._copy.upstreams()
        }

    async def _follow(self) -> None:
        while True:
            for peer in self._control:
                await self._follow_one(peer)
            await asyncio.sleep(RETRY_DELAY_S)

    async def _follow_one(self, peer: str) -> None:
        req = DirectoryRequest(
            self._process_name, max_upstreams=self._max_upstreams
        )
        deltas = self._clients.stream(peer, WATCH_DIRECTORY, req)
        try:
            async for delta in deltas:
                self._copy.apply(delta)
                self.version += 1
                self.received_at = self._clock.now()
        except UnavailableError as exc:
            logger.warning('event=directory_lost peer={} error={!r}', peer, exc)

    async def _confirm_to(self, peer: str) -> None:
        while True:
            try:
                await self._clients.send_stream(
                    peer, CONFIRM, self._confirmations()
                )
            except UnavailableError as exc:
                logger.debug('event=confirm_lost peer={} error={!r}', peer, exc)
            await asyncio.sleep(CONFIRM_INTERVAL_S)

    async def _confirmations(self) -> AsyncIterator[DirectoryRequest]:
        while True:
            revision = self._configuration.revision
            yield DirectoryRequest(self._process_name, revision)
            await self._configuration.wait_newer(revision, CONFIRM_INTERVAL_S)
