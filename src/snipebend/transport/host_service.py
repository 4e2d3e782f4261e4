"""The control daemon's service for the numbered document and the roster.

It commits documents and upstream records, and sends updates to entries.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from grpclib.exceptions import GRPCError
from loguru import logger
from result import Err, Ok, Result

from snipebend.errors.hierarchy import UnavailableError
from snipebend.hosts.parts import DocumentPart, DocumentStore, PartRequest
from snipebend.kernel.service import Service
from snipebend.state.commands import PutDocument, RecordUpstream
from snipebend.state.documents import DocumentState, PutReply, PutRequest
from snipebend.state.host_updates import (
    EvacuationNews,
    HostUpdate,
    HostWatchRequest,
    UpstreamGroupStatus,
)
from snipebend.state.roster import RecordReply, RecordRequest
from snipebend.transport.methods import FETCH_PART, WATCH_HOSTS
from snipebend.transport.replicated_state import ReplicatedState
from snipebend.transport.rpc_server import Endpoint, RpcServer
from snipebend.transport.warmth_reporter import WarmthCursor, WarmthReporter

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping

    from snipebend.kernel.registry import Registry
    from snipebend.state.commands import Command
    from snipebend.state.roster import UpstreamRecord

#: Seconds between two updates to a watcher if nothing changes. A change must be
#: in force everywhere within 2 s, including a reconnection, so four such
#: updates fit.
UPDATE_INTERVAL_S = 0.5


#: Minimum seconds between two updates of one watch; changes in between are sent
#: together. Otherwise each of a thousand upstreams that arrive at once would
#: cause a separate update to each of a hundred watchers.
MIN_UPDATE_INTERVAL_S = 0.02

#: Maximum number of upstream records in one update, about 40 KB. A watcher that
#: times out in the middle of a long roster keeps the updates before.
MAX_RECORDS = 256


@dataclass(slots=True)
class WatchCursor:
    """How far one watch has sent the state to its watcher."""

    number: int
    revision: int
    #: Change counts of the groups and watchers last sent; -1: not sent yet.
    group_changes: int = -1
    watcher_changes: int = -1
    #: The revision of the evacuations last sent.
    evacuations: int = -1
    warmth: WarmthCursor = field(default_factory=WarmthCursor)


class HostService(Service):
    """Commits documents and upstream records, and sends them to entries."""

    def __init__(self, name: str, server: RpcServer) -> None:
        """Add the endpoints to the server."""
        super().__init__(name)
        self._stopping = False
        self._started = False
        #: The request of the latest watch of each process.
        self._watchers: dict[str, HostWatchRequest] = {}
        self._groups: dict[str, UpstreamGroupStatus] = {}
        #: Number of changes to the statuses of groups and to the watchers.
        self._group_changes = 0
        self._watcher_changes = 0
        self._document_parts = DocumentStore()
        self.warmth = WarmthReporter()
        server.add(
            Endpoint(WATCH_HOSTS, self.watch),
            Endpoint(FETCH_PART, self.fetch_part),
        )

    async def start(self, registry: Registry) -> None:
        """Look up the replicated state."""
        self._clock = registry.clock
        self._store = registry.find('state', ReplicatedState)
        self.warmth.start(self._clock, self._store)
        self._started = True

    async def stop(self) -> None:
        """End all watches."""
        self._stopping = True
        if not self._started:
            return
        async with self._store.changed:
            self._store.changed.notify_all()

    def dump(self) -> Mapping[str, object]:
        """Return the watchers, and the numbers of document and roster."""
        state = self._store.machine.state
        return {
            'document': state.documents.number,
            'roster_revision': state.roster.revision,
            'warmth': self.warmth.dump(),
            'watchers': {
                name: req.gossip_address for name, req in self._watchers.items()
            },
        }

    @property
    def documents(self) -> DocumentState:
        """Return this daemon's document, which may lag the leader's."""
        return self._store.machine.state.documents

    async def put(self, req: PutRequest) -> Result[PutReply, UnavailableError]:
        """Commit a validated document; return once a majority has synced it."""
        reply = await self._execute(PutDocument(req, self._store.wall()))
        logger.info(
            'event=document_put number={} bytes={} outcome={}',
            req.number,
            len(req.body),
            reply.value,
        )
        return reply

    async def read(self) -> Result[DocumentState, UnavailableError]:
        """Return the latest document; the read is linearizable."""
        try:
            machine = await self._store.read()
        except GRPCError as exc:
            return Err(UnavailableError(str(exc.message), step='read'))
        return Ok(machine.state.documents)

    async def record(
        self, upstream: UpstreamRecord
    ) -> Result[RecordReply, UnavailableError]:
        """Record an upstream; commit the record only if it supersedes."""
        roster = self._store.machine.state.roster
        known = roster.upstreams.get(upstream.identity)
        if known is not None and not upstream.supersedes(known):
            return Ok(RecordReply(known.phase, roster.revision))
        req = RecordRequest(upstream)
        reply = await self._execute(RecordUpstream(req, self._store.wall()))
        logger.info(
            'event=upstream_recorded upstream={} service={} phase={} '
            + 'address={} outcome={}',
            upstream.identity,
            upstream.service,
            upstream.phase.name,
            upstream.address,
            reply.value,
        )
        return reply

    def report_group(self, status: UpstreamGroupStatus) -> None:
        """Record the status of a group of upstreams and notify the watchers."""
        if status == self._groups.get(status.group):
            return
        logger.info(
            'event=group_standing group={} service={} phase={} ranks={} '
            + 'slow={}',
            status.group,
            status.service,
            status.phase.name.lower(),
            len(status.members),
            ','.join(status.slow) or '-',
        )
        self._groups[status.group] = status
        self._group_changes += 1
        self._store.notify_changed()

    def remove_group(self, group: str) -> None:
        """Stop reporting a group; another daemon may report it."""
        if self._groups.pop(group, None) is not None:
            self._group_changes += 1

    def remove_groups(self) -> None:
        """Stop reporting all groups, as only the leader reports them."""
        for group in tuple(self._groups):
            self.remove_group(group)

    async def watch(self, req: HostWatchRequest) -> AsyncIterator[HostUpdate]:
        """Yield newer parts of the state, or a keep-alive if there are none."""
        logger.info(
            'event=watch_opened process={} number={} roster_revision={}',
            req.process,
            req.number,
            req.roster_revision,
        )
        began_at = self._clock.now()
        self._watchers[req.process] = req
        self._watcher_changes += 1
        self.warmth.record_entry(req.gossip_address)
        cursor = WatchCursor(req.number, req.roster_revision)
        try:
            while not self._stopping:
                update = self._next_update(req, cursor)
                cursor.number = max(cursor.number, update.number)
                cursor.revision = max(cursor.revision, update.roster_revision)
                yield update
                await asyncio.sleep(MIN_UPDATE_INTERVAL_S)
                await self._wait_for_newer(req, cursor)
        finally:
            self._remove_watcher(req)
            logger.info(
                'event=watch_closed process={} lasted_ms={:.0f} number={}',
                req.process,
                1000 * (self._clock.now() - began_at),
                cursor.number,
            )

    def _remove_watcher(self, req: HostWatchRequest) -> None:
        self.warmth.record_lost_entry(req.gossip_address)
        # A replaced watch may end after the new one has started.
        if self._watchers.get(req.process) is req:
            self._watchers.pop(req.process)
            self._watcher_changes += 1

    async def fetch_part(self, req: PartRequest) -> DocumentPart:
        """Return a part of a document, compressed once for all entries."""
        documents = self.documents
        if documents.number > self._document_parts.newest:
            self._document_parts.put(documents.number, documents.body)
        part = self._document_parts.get_part(req)
        if not part.offset:
            logger.info(
                'event=document_asked number={} packed_bytes={}',
                part.number,
                part.total,
            )
        return part

    def _next_update(
        self, req: HostWatchRequest, cursor: WatchCursor
    ) -> HostUpdate:
        """Return the changes not yet sent to a watcher; advance the cursor."""
        state = self._store.machine.state
        group = self._store.group
        ago = group.confirmed_ago if group else None
        voters = group.replica.status.members.voters if group else ()
        documents = state.documents
        inline = documents.number > cursor.number and not req.fetches
        upstreams = state.roster.records_since(cursor.revision, MAX_RECORDS)
        is_complete = len(upstreams) < MAX_RECORDS
        groups_unchanged = (
            req.keeps_groups and cursor.group_changes == self._group_changes
        )
        entries = self._changed_entries(cursor)
        cursor.group_changes = self._group_changes
        cursor.watcher_changes = self._watcher_changes
        return HostUpdate(
            documents.number,
            state.roster.revision if is_complete else upstreams[-1].revision,
            -1 if ago is None else ago,
            documents.body if inline else b'',
            upstreams,
            tuple(member.address for member in voters),
            tuple(entry.gossip_address for entry in entries),
            () if groups_unchanged else tuple(self._groups.values()),
            groups_unchanged,
            tuple(entry.data_center for entry in entries),
            self._evacuation_news(cursor),
            self.warmth.reports_since(req, cursor.warmth),
            self.warmth.known_entries,
        )

    def _evacuation_news(self, cursor: WatchCursor) -> EvacuationNews:
        """Return the evacuations; advance the cursor."""
        evacuations = self._store.machine.state.evacuations
        cursor.evacuations = evacuations.revision
        return EvacuationNews(
            evacuations.revision, evacuations.list_evacuated()
        )

    def _changed_entries(self, cursor: WatchCursor) -> list[HostWatchRequest]:
        """Return the entries, or none if they are unchanged for the watch."""
        if cursor.watcher_changes == self._watcher_changes:
            return []
        return [one for one in self._watchers.values() if one.gossip_address]

    async def _execute(self, command: Command) -> Result[Any, UnavailableError]:
        try:
            return Ok(await self._store.execute(command))
        except GRPCError as exc:
            return Err(UnavailableError(str(exc.message), step='execute'))

    async def _wait_for_newer(
        self, req: HostWatchRequest, cursor: WatchCursor
    ) -> None:
        try:
            async with asyncio.timeout(UPDATE_INTERVAL_S), self._store.changed:
                await self._store.changed.wait_for(
                    lambda: (
                        self._stopping
                        or self._group_changes != cursor.group_changes
                        or self._is_newer(cursor)
                        or self.warmth.has_news(req, cursor.warmth)
                    ),
                )
        except TimeoutError:
            return

    def _is_newer(self, cursor: WatchCursor) -> bool:
        state = self._store.machine.state
        return (
            state.documents.number > cursor.number
            or state.roster.revision > cursor.revision
            or state.evacuations.revision > cursor.evacuations
        )
