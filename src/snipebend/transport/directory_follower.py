"""The entry's copy of the directory, and its word on its configuration."""

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

#: Seconds between two words on the revision in force here; a new one is told
#: at once.
CONFIRM_EVERY_S = 1.0


class DirectoryFollower(Service):
    """Keeps the upstreams that control knows, from whichever daemon answers.

    While no daemon answers the last copy stays: an entry goes on serving with
    the upstreams it knows, and finds dead ones by itself.
    """

    def __init__(
        self,
        name: str,
        cfg: EntrySettings,
        clients: RpcClients,
    ) -> None:
        """Keep the settings."""
        super().__init__(name)
        self._process_name = cfg.process.name
        self._control = tuple(cfg.control.addresses)
        self._max_upstreams = cfg.connections.max_upstreams
        self._clients = clients
        self._copy = DirectoryCopy()
        #: Grows with each difference that was taken in.
        self.version = 0
        #: When that was, on this process's clock.
        self.heard_at: float = 0

    async def start(self, registry: Registry) -> None:
        """Start to follow and to confirm."""
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
        """Return the upstreams known right now."""
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
                self.heard_at = self._clock.now()
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
            await asyncio.sleep(CONFIRM_EVERY_S)

    async def _confirmations(self) -> AsyncIterator[DirectoryRequest]:
        while True:
            revision = self._configuration.revision
            yield DirectoryRequest(self._process_name, revision)
            await self._configuration.wait_newer(revision, CONFIRM_EVERY_S)
