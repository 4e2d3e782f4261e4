"""The control daemon's directory: announcements in, differences out."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Mapping
from typing import TYPE_CHECKING

from msgspec.structs import replace

from snipebend.kernel.service import Service
from snipebend.membership.directory import UpstreamDirectory
from snipebend.membership.directory_delta import DirectoryDelta, WatcherView
from snipebend.membership.messages import (
    AnnounceReply,
    Announcement,
    Directory,
    DirectoryRequest,
)
from snipebend.membership.watcher_subset import (
    Pools,
    WatcherSubset,
    group_pools,
)
from snipebend.transport.control_api import ConfigurationKeeper
from snipebend.transport.methods import (
    ANNOUNCE,
    CONFIRM,
    DIRECTORY,
    WATCH_DIRECTORY,
)
from snipebend.transport.rpc_server import Endpoint, RpcServer

if TYPE_CHECKING:
    from snipebend.kernel.registry import Registry

#: Seconds between two differences that only tell of loads, or of no change.
LOADS_EVERY_S = 1.0


class DirectoryKeeper(Service):
    """Soft state only: a restart fills it again within one announcement."""

    def __init__(self, name: str, server: RpcServer) -> None:
        """Add the endpoints to the server."""
        super().__init__(name)
        self._directory = UpstreamDirectory()
        self._pools: Pools = {}
        self._grouped_version = 0
        #: Open feeds by entry: an entry holds one to each control daemon.
        self._entries: Counter[str] = Counter()
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
        version = self._directory.version
        if not self._directory.record(announcement, self._clock.now()):
            return
        self._keeper.confirm(announcement.upstream, announcement.revision)
        if self._directory.version != version:
            self._wake_watchers()

    async def confirm(
        self,
        confirmations: AsyncIterator[DirectoryRequest],
    ) -> AnnounceReply:
        """Note the revisions that an entry has in force, as they come."""
        entry = ''
        try:
            async for confirmation in confirmations:
                self._keeper.confirm(
                    confirmation.process, confirmation.revision
                )
                if confirmation.process and not entry:
                    entry = confirmation.process
                    self._entries[entry] += 1
        finally:
            self._forget_feed(entry)
        return AnnounceReply(self._keeper.revision)

    async def list_upstreams(self, req: DirectoryRequest) -> Directory:
        """Return the upstreams known right now, for an operator."""
        return Directory(self.fresh(), self._keeper.revision)

    async def watch(
        self,
        req: DirectoryRequest,
    ) -> AsyncIterator[DirectoryDelta]:
        """Yield the watcher's part once, then each difference.

        An empty one after a quiet span tells that all loads still hold.
        """
        view = WatcherView()
        subset = WatcherSubset(req)
        is_due = True
        while not self._stopping:
            delta = view.advance(self._shown(subset), self._keeper.revision)
            if is_due or not delta.is_empty():
                yield replace(delta, entries=len(self._entries))
            is_due = not await self._wait_for_change()

    def dump(self) -> Mapping[str, object]:
        """Return the upstreams and their phases."""
        return {entry.upstream: entry.phase.value for entry in self.fresh()}

    def fresh(self) -> tuple[Announcement, ...]:
        """Return the announcements whose leases hold."""
        return self._directory.fresh(self._clock.now())

    def _shown(self, subset: WatcherSubset) -> tuple[Announcement, ...]:
        """Return what one watcher is shown.

        The cost grows with its subset; with the pools only when they changed.
        """
        now = self._clock.now()
        # What ended is dropped first, since that is a change, too.
        self._directory.expire(now)
        if self._directory.version != self._grouped_version:
            members = self._directory.fresh(now)
            self._pools = group_pools(members, self._pools)
            self._grouped_version = self._directory.version
        names = subset.select(self._pools, len(self._entries))
        return self._directory.select(names, now)

    def _forget_feed(self, entry: str) -> None:
        self._entries[entry] -= 1
        if self._entries[entry] <= 0:
            self._entries.pop(entry)

    async def _wait_for_change(self) -> bool:
        """Return whether there was one within the span."""
        changed = self._changed
        try:
            async with asyncio.timeout(LOADS_EVERY_S):
                return await changed.wait()
        except TimeoutError:
            return False

    def _wake_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
