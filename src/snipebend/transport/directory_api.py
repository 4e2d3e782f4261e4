"""The control daemon's directory service of upstreams.

Agents announce their upstreams; entries watch the directory as differences.
"""

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
from snipebend.transport.control_api import ConfigurationApi
from snipebend.transport.methods import (
    ANNOUNCE,
    CONFIRM,
    DIRECTORY,
    WATCH_DIRECTORY,
)
from snipebend.transport.rpc_server import Endpoint, RpcServer

if TYPE_CHECKING:
    from snipebend.kernel.registry import Registry

#: Seconds between two differences that hold loads only, or no change at all.
LOAD_INTERVAL_S = 1.0


class DirectoryApi(Service):
    """Keeps announced upstreams and sends differences to watchers.

    The directory is soft state: after a restart the next announcement of each
    agent restores it.
    """

    def __init__(self, name: str, server: RpcServer) -> None:
        """Add the endpoints to the server."""
        super().__init__(name)
        self._directory = UpstreamDirectory()
        self._pools: Pools = {}
        self._pools_version = 0
        #: Number of open ``confirm`` calls by entry; an entry keeps one open to
        #: each control daemon.
        self._feeds_by_entry: Counter[str] = Counter()
        self._changed = asyncio.Event()
        self._stopping = False
        server.add(
            Endpoint(ANNOUNCE, self.announce),
            Endpoint(CONFIRM, self.confirm),
            Endpoint(DIRECTORY, self.list_upstreams),
            Endpoint(WATCH_DIRECTORY, self.watch),
        )

    async def start(self, registry: Registry) -> None:
        """Look up the configuration service."""
        self._clock = registry.clock
        self._configuration = registry.find('configuration', ConfigurationApi)

    async def stop(self) -> None:
        """End all watches."""
        self._stopping = True
        self._wake_watchers()

    async def announce(
        self,
        announcements: AsyncIterator[Announcement],
    ) -> AnnounceReply:
        """Record an agent's announcements until it ends the call."""
        async for announcement in announcements:
            self.record(announcement)
        return AnnounceReply(self._configuration.revision)

    def record(self, announcement: Announcement) -> None:
        """Record an announcement; wake watchers unless only loads changed."""
        version = self._directory.version
        if not self._directory.record(announcement, self._clock.now()):
            return
        self._configuration.confirm(
            announcement.upstream, announcement.revision
        )
        if self._directory.version != version:
            self._wake_watchers()

    async def confirm(
        self,
        confirmations: AsyncIterator[DirectoryRequest],
    ) -> AnnounceReply:
        """Record the revisions that an entry reports to have in force."""
        entry = ''
        try:
            async for confirmation in confirmations:
                self._configuration.confirm(
                    confirmation.process, confirmation.revision
                )
                if confirmation.process and not entry:
                    entry = confirmation.process
                    self._feeds_by_entry[entry] += 1
        finally:
            self._remove_feed(entry)
        return AnnounceReply(self._configuration.revision)

    async def list_upstreams(self, req: DirectoryRequest) -> Directory:
        """Return all upstreams with an unexpired lease, for operators."""
        return Directory(self.fresh(), self._configuration.revision)

    async def watch(
        self,
        req: DirectoryRequest,
    ) -> AsyncIterator[DirectoryDelta]:
        """Yield the watcher's subset once, then each difference to it.

        After ``LOAD_INTERVAL_S`` without a change it yields the latest loads;
        an empty difference means that they are unchanged.
        """
        view = WatcherView()
        subset = WatcherSubset(req)
        is_due = True
        while not self._stopping:
            delta = view.advance(
                self._visible_upstreams(subset), self._configuration.revision
            )
            if is_due or not delta.is_empty():
                yield replace(delta, entries=len(self._feeds_by_entry))
            is_due = not await self._wait_for_change()

    def dump(self) -> Mapping[str, object]:
        """Return the phase of each upstream."""
        return {entry.upstream: entry.phase.value for entry in self.fresh()}

    def fresh(self) -> tuple[Announcement, ...]:
        """Return the announcements whose leases have not expired."""
        return self._directory.fresh(self._clock.now())

    def _visible_upstreams(
        self, subset: WatcherSubset
    ) -> tuple[Announcement, ...]:
        """Return the announcements in one watcher's subset.

        The cost is proportional to the subset; to the size of all pools only
        if they have changed.
        """
        now = self._clock.now()
        # Expired entries go first, since removing them changes the version.
        self._directory.expire(now)
        if self._directory.version != self._pools_version:
            members = self._directory.fresh(now)
            self._pools = group_pools(members, self._pools)
            self._pools_version = self._directory.version
        names = subset.select(self._pools, len(self._feeds_by_entry))
        return self._directory.select(names, now)

    def _remove_feed(self, entry: str) -> None:
        self._feeds_by_entry[entry] -= 1
        if self._feeds_by_entry[entry] <= 0:
            self._feeds_by_entry.pop(entry)

    async def _wait_for_change(self) -> bool:
        """Return whether the directory changed within ``LOAD_INTERVAL_S``."""
        changed = self._changed
        try:
            async with asyncio.timeout(LOAD_INTERVAL_S):
                return await changed.wait()
        except TimeoutError:
            return False

    def _wake_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
