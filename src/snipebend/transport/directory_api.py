"""The control daemon's directory: announcements in, differences out."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Mapping
from typing import TYPE_CHECKING

from snipebend.kernel.service import Service
from snipebend.membership.directory import UpstreamDirectory
from snipebend.membership.directory_delta import (
    DirectoryDelta,
    WatcherView,
    same_member,
)
from snipebend.membership.messages import (
    AnnounceReply,
    Announcement,
    Directory,
    DirectoryRequest,
)
from snipebend.transport.control_api import ConfigurationKeeper
from snipebend.transport.methods import (
    ANNOUNCE,
    CONFIRM,
    DIRECTORY,
    WATCH_DIRECTORY,
)
from snipebend.transport.rpc import Endpoint, RpcServer

if TYPE_CHECKING:
    from snipebend.kernel.registry import Registry

#: Seconds between two differences that only tell of loads.
LOADS_EVERY_S = 1.0


class DirectoryKeeper(Service):
    """Soft state only: a restart fills it again within one announcement."""

    def __init__(self, name: str, server: RpcServer) -> None:
        """Add the endpoints to the server."""
        super().__init__(name)
        self._directory = UpstreamDirectory()
        self._members: dict[str, Announcement] = {}
        self._changed = asyncio.Event()
        self._stopping = False
        server.add(
            Endpoint(ANNOUNCE, self.announce),
            Endpoint(CONFIRM, self.confirm),
            Endpoint(DIRECTORY, self.list_upstreams),
            Endpoint(WATCH_DIRECTORY, self.watch),
        )

    async def start(self, registry: Registry) -> None:
        """Find the configuration keeper."""
        self._clock = registry.clock
        self._keeper = registry.find('configuration', ConfigurationKeeper)

    async def stop(self) -> None:
        """End the watches."""
        self._stopping = True
        self._wake_watchers()

    async def announce(
        self,
        announcements: AsyncIterator[Announcement],
    ) -> AnnounceReply:
        """Record an agent's announcements until it ends the call."""
        async for announcement in announcements:
            self.record(announcement)
        return AnnounceReply(self._keeper.revision)

    def record(self, announcement: Announcement) -> None:
        """Record one announcement; wake the watchers if more than load."""
        if not self._directory.record(announcement, self._clock.now()):
            return
        self._keeper.confirm(announcement.upstream, announcement.revision)
        known = self._members.get(announcement.upstream)
        self._members[announcement.upstream] = announcement
        if known is None or not same_member(known, announcement):
            self._wake_watchers()

    async def confirm(
        self,
        confirmations: AsyncIterator[DirectoryRequest],
    ) -> AnnounceReply:
        """Note the revisions that an entry has in force, as they come."""
        async for confirmation in confirmations:
            self._keeper.confirm(confirmation.process, confirmation.revision)
        return AnnounceReply(self._keeper.revision)

    async def list_upstreams(self, req: DirectoryRequest) -> Directory:
        """Return the upstreams known right now, for an operator."""
        return Directory(self.fresh(), self._keeper.revision)

    async def watch(
        self,
        req: DirectoryRequest,
    ) -> AsyncIterator[DirectoryDelta]:
        """Yield the whole directory once, then each difference."""
        view = WatcherView()
        while not self._stopping:
            delta = view.advance(self.fresh(), self._keeper.revision)
            if not delta.is_empty():
                yield delta
            await self._wait_for_change()

    def dump(self) -> Mapping[str, object]:
        """Return the upstreams and their phases."""
        return {entry.upstream: entry.phase.value for entry in self.fresh()}

    def fresh(self) -> tuple[Announcement, ...]:
        """Return the announcements whose leases hold."""
        fresh = self._directory.fresh(self._clock.now())
        if len(fresh) < len(self._members):
            names = {announcement.upstream for announcement in fresh}
            for gone in self._members.keys() - names:
                self._members.pop(gone)
        return fresh

    async def _wait_for_change(self) -> None:
        changed = self._changed
        try:
            async with asyncio.timeout(LOADS_EVERY_S):
                await changed.wait()
        except TimeoutError:
            return

    def _wake_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
