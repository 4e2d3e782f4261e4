"""The control daemon's keeper of the numbered document and the roster."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
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
    HostUpdate,
    HostWatchRequest,
    UpstreamGroupStatus,
)
from snipebend.state.roster import RecordReply, RecordRequest
from snipebend.transport.methods import FETCH_PART, WATCH_HOSTS
from snipebend.transport.replicated_state import ReplicatedState
from snipebend.transport.rpc_server import Endpoint, RpcServer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping

    from snipebend.kernel.registry import Registry
    from snipebend.state.commands import Command
    from snipebend.state.roster import UpstreamRecord

#: Seconds between two signs of life to a watcher. A change must be in force
#: everywhere within 2 s, a reconnection included: four of these.
NEWS_EVERY_S = 0.5


#: Least seconds between two messages of one watch: what changes meanwhile is
#: told together. While a thousand upstreams arrive, a hundred watchers would be
#: told of each.
NEWS_APART_S = 0.02

#: Records of upstreams in one message, some 40 KB: a watcher that loses
#: patience with a long roster keeps what came before.
MOST_RECORDS = 256


@dataclass(slots=True)
class Told:
    """What one watch has told its watcher so far."""

    number: int
    revision: int
    #: Counts of changes, of groups and of watchers; -1: none was told of.
    groups: int = -1
    watchers: int = -1


class HostKeeper(Service):
    """Commits documents and upstreams, and tells entries of them."""

    def __init__(self, name: str, server: RpcServer) -> None:
        """Add the endpoint to the server."""
        super().__init__(name)
        self._stopping = False
        self._started = False
        #: The latest watch of each process.
        self._watchers: dict[str, HostWatchRequest] = {}
        self._groups: dict[str, UpstreamGroupStatus] = {}
        #: Grow with each change of what is told of groups, and of watchers.
        self._groups_changed = 0
        self._watchers_changed = 0
        self._shelf = DocumentStore()
        server.add(
            Endpoint(WATCH_HOSTS, self.watch),
            Endpoint(FETCH_PART, self.fetch_part),
        )

    async def start(self, registry: Registry) -> None:
        """Find the state."""
        self._clock = registry.clock
        self._store = registry.find('state', ReplicatedState)
        self._started = True

    async def stop(self) -> None:
        """End the watchers' streams."""
        self._stopping = True
        if not self._started:
            return
        async with self._store.changed:
            self._store.changed.notify_all()

    def dump(self) -> Mapping[str, object]:
        """Return what is in force and who watches."""
        state = self._store.machine.state
        return {
            'document': state.documents.number,
            'roster_revision': state.roster.revision,
            'watchers': {
                name: req.gossip_address for name, req in self._watchers.items()
            },
        }

    @property
    def book(self) -> DocumentState:
        """Return the document as this daemon has it, perhaps behind others."""
        return self._store.machine.state.documents

    async def put(self, req: PutRequest) -> Result[PutReply, UnavailableError]:
        """Put a checked document in force once a majority has synced it."""
        reply = await self._execute(PutDocument(req, self._store.wall()))
        logger.info(
            'event=document_put number={} bytes={} outcome={}',
            req.number,
            len(req.body),
            reply.value,
        )
        return reply

    async def read(self) -> Result[DocumentState, UnavailableError]:
        """Return the document that no other has overtaken by now."""
        try:
            machine = await self._store.read()
        except GRPCError as exc:
            return Err(UnavailableError(str(exc.message), step='read'))
        return Ok(machine.state.documents)

    async def record(
        self, upstream: UpstreamRecord
    ) -> Result[RecordReply, UnavailableError]:
        """Note an upstream; only news is committed."""
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

    def tell_group(self, standing: UpstreamGroupStatus) -> None:
        """Note what a group of upstreams does; watchers are told at once."""
        if standing == self._groups.get(standing.group):
            return
        logger.info(
            'event=group_standing group={} service={} phase={} ranks={} '
            + 'slow={}',
            standing.group,
            standing.service,
            standing.phase.name.lower(),
            len(standing.members),
            ','.join(standing.slow) or '-',
        )
        self._groups[standing.group] = standing
        self._groups_changed += 1
        self._store.tell_changed()

    def forget_group(self, group: str) -> None:
        """Leave it to others to tell of a group."""
        if self._groups.pop(group, None) is not None:
            self._groups_changed += 1

    def forget_groups(self) -> None:
        """Leave it to the leader to tell."""
        for group in tuple(self._groups):
            self.forget_group(group)

    async def watch(self, req: HostWatchRequest) -> AsyncIterator[HostUpdate]:
        """Yield what is newer than the watcher's, and that nothing is."""
        logger.info(
            'event=watch_opened process={} number={} roster_revision={}',
            req.process,
            req.number,
            req.roster_revision,
        )
        began_at = self._clock.now()
        self._watchers[req.process] = req
        self._watchers_changed += 1
        told = Told(req.number, req.roster_revision)
        try:
            while not self._stopping:
                news = self._news_after(req, told)
                told.number = max(told.number, news.number)
                told.revision = max(told.revision, news.roster_revision)
                yield news
                await asyncio.sleep(NEWS_APART_S)
                await self._wait_for_newer(told)
        finally:
            # An old watch may end after the one that took its place.
            if self._watchers.get(req.process) is req:
                self._watchers.pop(req.process)
                self._watchers_changed += 1
            logger.info(
                'event=watch_closed process={} lasted_ms={:.0f} number={}',
                req.process,
                1000 * (self._clock.now() - began_at),
                told.number,
            )

    async def fetch_part(self, req: PartRequest) -> DocumentPart:
        """Return a part of a document, packed once for all who ask."""
        book = self.book
        if book.number > self._shelf.newest:
            self._shelf.put(book.number, book.body)
        part = self._shelf.get_part(req)
        if not part.offset:
            logger.info(
                'event=document_asked number={} packed_bytes={}',
                part.number,
                part.total,
            )
        return part

    def _news_after(self, req: HostWatchRequest, told: Told) -> HostUpdate:
        """Return what a watcher wasn't told yet."""
        state = self._store.machine.state
        group = self._store.group
        ago = group.confirmed_ago if group else None
        voters = group.replica.status.members.voters if group else ()
        book = state.documents
        inline = book.number > told.number and not req.fetches
        upstreams = state.roster.records_since(told.revision, MOST_RECORDS)
        all_told = len(upstreams) < MOST_RECORDS
        groups_unchanged = (
            req.keeps_groups and told.groups == self._groups_changed
        )
        entries = self._entries_after(told)
        told.groups = self._groups_changed
        told.watchers = self._watchers_changed
        return HostUpdate(
            book.number,
            state.roster.revision if all_told else upstreams[-1].revision,
            -1 if ago is None else ago,
            book.body if inline else b'',
            upstreams,
            tuple(member.address for member in voters),
            tuple(entry.gossip_address for entry in entries),
            () if groups_unchanged else tuple(self._groups.values()),
            groups_unchanged,
            tuple(entry.data_center for entry in entries),
        )

    def _entries_after(self, told: Told) -> list[HostWatchRequest]:
        """Return the entries, unless a watch told of the same ones before."""
        if told.watchers == self._watchers_changed:
            return []
        return [one for one in self._watchers.values() if one.gossip_address]

    async def _execute(self, command: Command) -> Result[Any, UnavailableError]:
        try:
            return Ok(await self._store.execute(command))
        except GRPCError as exc:
            return Err(UnavailableError(str(exc.message), step='execute'))

    async def _wait_for_newer(self, told: Told) -> None:
        try:
            async with asyncio.timeout(NEWS_EVERY_S), self._store.changed:
                await self._store.changed.wait_for(
                    lambda: (
                        self._stopping
                        or self._groups_changed != told.groups
                        or self._is_newer(told.number, told.revision)
                    ),
                )
        except TimeoutError:
            return

    def _is_newer(self, number: int, revision: int) -> bool:
        state = self._store.machine.state
        return (
            state.documents.number > number or state.roster.revision > revision
        )
