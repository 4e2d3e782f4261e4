"""An entry's copy of the document and the roster, told by control daemons.

It watches every control daemon that it knows, so that the death of one delays
no news. What it has never goes back: numbers and phases only grow.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from itertools import chain
from typing import TYPE_CHECKING

from loguru import logger
from result import Result

from snipebend.edge.document_fetcher import DocumentFetcher
from snipebend.errors.hierarchy import InvalidInputError, UnavailableError
from snipebend.hosts.lookup import HostIndex
from snipebend.hosts.model import HostTable
from snipebend.kernel.service import Service
from snipebend.relay.entry_directory import EntryDirectory
from snipebend.settings.relay import RelaySettings
from snipebend.state.host_news import HostWatch
from snipebend.transport.methods import WATCH_HOSTS
from snipebend.transport.rpc_clients import RpcClients

if TYPE_CHECKING:
    from collections.abc import Mapping

    from snipebend.kernel.registry import Registry
    from snipebend.state.host_news import GroupStanding, HostNews
    from snipebend.state.roster import UpstreamRecord

#: Reads the body of a document.
ReadTable = Callable[[bytes], Result[HostTable, InvalidInputError]]

#: Seconds without news, sent every half second, after which a watch is opened
#: anew: with the way back it stays within the 2 s for a change.
SILENT_S = 1.2

#: Seconds before a lost daemon is tried again.
RETRY_S = 0.1

#: News confirmed by a quorum within so many seconds is current.
CONFIRMED_S = 2.0

#: A process that gets news, but none that a quorum confirmed, begins to serve
#: after so many seconds: serving by what may be an older document is better
#: than refusing all while control has no quorum.
UNCONFIRMED_PATIENCE_S = 3.0


@dataclass
class WatchTally:
    """What one watch of a daemon has brought, for the line on its end."""

    began_at: float
    news: int = 0
    #: Number of the daemon's document as it told last.
    number: int = 0


class HostFollower(Service):
    """Follows every control daemon and merges what they tell."""

    def __init__(
        self,
        name: str,
        cfg: RelaySettings,
        clients: RpcClients,
        read_table: ReadTable,
    ) -> None:
        """Keep the seeds; ``read_table`` reads a document."""
        super().__init__(name)
        self.index: HostIndex | None = None
        #: Told of each batch of roster records.
        self.on_upstreams: Callable[[tuple[UpstreamRecord, ...]], None] | None
        self.on_upstreams = None
        #: Gossip addresses of the other entries.
        self.entries: frozenset[str] = frozenset()
        #: The data centre of each, as far as told.
        self.data_centers: dict[str, str] = {}
        self._lists = EntryDirectory()
        #: Called after each batch of news.
        self.on_news: Callable[[], None] = _nobody
        #: Told of groups of upstreams, and of none while nobody tells.
        self.on_groups: Callable[[tuple[GroupStanding, ...]], None] = _drop
        #: What each daemon tells of groups; only the leader does.
        self._groups: dict[str, tuple[GroupStanding, ...]] = {}
        self.gossip_address = ''
        self._process = cfg.process.name
        self.data_center = cfg.process.data_center
        self._seeds = frozenset(cfg.control.grpc_addresses)
        self._clients = clients
        self._read_table = read_table
        self._revision = 0
        self._number = 0
        self._members: frozenset[str] = frozenset()
        self._watched: dict[str, asyncio.Task[None]] = {}
        self._stopping = False
        self._confirmed = False
        #: The highest number that a quorum confirmed.
        self._confirmed_number = 0
        self._fetcher = DocumentFetcher(
            self._process, RpcClients(), self._take_document
        )
        self._first_news_at: float | None = None
        self.news_at: float = 0

    async def start(self, registry: Registry) -> None:
        """Watch the seeds."""
        self._clock = registry.clock
        self._tasks = registry.tasks
        registry.tasks.once('watch-seeds', self._watch_seeds)
        registry.tasks.start(
            'fetch-documents', partial(self._fetcher.run, registry.clock)
        )

    async def reload(self, cfg: object) -> None:
        """Take over other seeds."""
        if isinstance(cfg, RelaySettings):
            self._seeds = frozenset(cfg.control.grpc_addresses)
            self._watch_all()

    async def stop(self) -> None:
        """End the watches, then close the connections.

        A watch that is cancelled while its connection closes may take the
        cancellation for a lost connection, and must not begin again.
        """
        self._stopping = True
        for task in self._watched.values():
            task.cancel()
        self._clients.close()
        self._fetcher.close()

    def ready(self) -> bool:
        """Tell whether there is a document to serve by."""
        if self.index is None or self._first_news_at is None:
            return False
        waited_s = self._clock.now() - self._first_news_at
        return self._confirmed or waited_s > UNCONFIRMED_PATIENCE_S

    @property
    def control_addresses(self) -> frozenset[str]:
        """Return the addresses of the control daemons, as far as known."""
        return self._members or self._seeds

    @property
    def number(self) -> int:
        """Return the number of the document in force here."""
        return self._number

    @property
    def age_s(self) -> float:
        """Return seconds since the last news of control; -1: none came yet."""
        if self._first_news_at is None:
            return -1
        return self._clock.now() - self.news_at

    def dump(self) -> Mapping[str, object]:
        """Return what is followed."""
        return {
            'number': self._number,
            'roster_revision': self._revision,
            'confirmed': self._confirmed,
            'watched': sorted(self._watched),
            'entries': sorted(self.entries),
            'news_age_s': self.age_s,
        }

    async def _watch_seeds(self) -> None:
        """Begin once all services have started and set their addresses."""
        self._watch_all()

    def _watch_all(self) -> None:
        wanted = self._seeds | self._members
        for address in wanted - self._watched.keys():
            self._watched[address] = self._tasks.start(
                f'watch-{address}', partial(self._watch, address)
            )
        for address in self._watched.keys() - wanted:
            self._watched.pop(address).cancel()
            self._clients.retire(address)

    async def _watch(self, address: str) -> None:
        """Follow one daemon for ever."""
        told_lost = False
        while not self._stopping:
            tally = WatchTally(self._clock.now())
            try:
                await self._follow(address, tally)
            except (UnavailableError, TimeoutError) as exc:
                self._clients.retire(address)
                self._take_groups(address, ())
                self._lists.remove_daemon(address)
                self._fetcher.note_lost(address)
                # One that refuses all the while is told once.
                if tally.news or not told_lost:
                    self._note_lost(address, tally, str(exc) or 'silent')
                told_lost = True
            else:
                told_lost = False
            await asyncio.sleep(RETRY_S)

    def _note_lost(self, address: str, tally: WatchTally, reason: str) -> None:
        logger.info(
            'event=control_lost peer={} reason={!r} lasted_ms={:.0f} news={} '
            + 'number={} told_number={}',
            address,
            reason,
            1000 * (self._clock.now() - tally.began_at),
            tally.news,
            self._number,
            tally.number,
        )

    async def _follow(self, address: str, tally: WatchTally) -> None:
        req = HostWatch(
            self._process,
            self._number,
            self._revision,
            self.gossip_address,
            fetches=True,
            keeps_groups=True,
            data_center=self.data_center,
        )
        stream = self._clients.stream(address, WATCH_HOSTS, req)
        while True:
            async with asyncio.timeout(SILENT_S):
                news = await anext(stream, None)
            if news is None:
                return
            if not tally.news:
                logger.info('event=control_found peer={}', address)
            tally.news += 1
            tally.number = news.number
            self._take(news, address)

    def _take(self, news: HostNews, address: str) -> None:
        now = self._clock.now()
        self.news_at = now
        if self._first_news_at is None:
            self._first_news_at = now
        if news.document and news.number > self._number:
            # From a daemon of an earlier version.
            self._fetcher.note_taken(news.number)
            self._take_document(news.number, news.document, address)
        self._fetcher.note_told(address, news.number)
        if news.upstreams and self.on_upstreams is not None:
            self.on_upstreams(news.upstreams)
        self._revision = max(self._revision, news.roster_revision)
        if 0 <= news.confirmed_ago_s <= CONFIRMED_S:
            self._confirmed_number = max(self._confirmed_number, news.number)
            self._note_confirmed()
        if not news.groups_hold:
            self._take_groups(address, news.groups)
        if news.entries:
            self._lists.update(address, news.entries, news.entry_places)
            self._note_entries()
        if news.members and self._members != frozenset(news.members):
            self._members = frozenset(news.members)
            self._watch_all()
        self.on_news()

    def _note_entries(self) -> None:
        self.data_centers = self._lists.data_centers()
        self.entries = frozenset(self.data_centers) - {self.gossip_address}

    def _take_groups(
        self, address: str, groups: tuple[GroupStanding, ...]
    ) -> None:
        if groups == self._groups.get(address, ()):
            return
        self._groups[address] = groups
        told = [one for one in self._groups.values() if one]
        self.on_groups(tuple(chain.from_iterable(told)))

    def _take_document(self, number: int, body: bytes, address: str) -> None:
        read = self._read_table(body)
        if read.is_err():
            logger.error(
                'event=document_unreadable number={} error={!r}',
                number,
                str(read.unwrap_err()),
            )
            return
        self.index = HostIndex(read.unwrap())
        self._number = number
        logger.info(
            'event=document_in_force number={} routes={} peer={}',
            number,
            len(self.index.table.routes),
            address,
        )
        self._note_confirmed()
        self.on_news()

    def _note_confirmed(self) -> None:
        """Begin to serve once what a quorum confirmed is in force here."""
        if self._confirmed or not 0 < self._confirmed_number <= self._number:
            return
        logger.info('event=document_confirmed number={}', self._number)
        self._confirmed = True


def _nobody() -> None:
    """Stand in while nobody wants to know."""


def _drop(_: tuple[GroupStanding, ...]) -> None:
    """Stand in while nobody wants to know of groups."""
