"""An entry's copy of the document and the roster, from control daemons.

It watches every known control daemon, so that the failure of one delays no
update. The copy never goes back: document numbers and roster phases only
increase.
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
from snipebend.edge.evacuations import EvacuationTracker
from snipebend.errors.hierarchy import InvalidInputError, UnavailableError
from snipebend.hosts.lookup import HostIndex
from snipebend.hosts.model import HostTable
from snipebend.kernel.service import Service
from snipebend.relay.entry_directory import EntryDirectory, FleetMembers
from snipebend.settings.relay import RelaySettings
from snipebend.state.host_updates import HostWatchRequest
from snipebend.transport.methods import WATCH_HOSTS
from snipebend.transport.rpc_clients import RpcClients

if TYPE_CHECKING:
    from collections.abc import Mapping

    from snipebend.kernel.registry import Registry
    from snipebend.state.host_updates import HostUpdate, UpstreamGroupStatus
    from snipebend.state.roster import UpstreamRecord
    from snipebend.state.warmth import WarmthReport

#: Parses the body of a document.
TableParser = Callable[[bytes], Result[HostTable, InvalidInputError]]

#: Seconds without an update, of which one is sent every half second, after
#: which a watch is reopened: including the reconnect, this stays within the 2 s
#: in which a change must be in force.
WATCH_TIMEOUT_S = 1.2

#: Seconds before reconnecting to a lost daemon.
RETRY_S = 0.1

#: An update confirmed by a quorum within this many seconds is current.
CONFIRMATION_MAX_AGE_S = 2.0

#: Seconds after which a process that receives updates, but none confirmed by a
#: quorum, begins to serve: serving by a possibly outdated document is better
#: than refusing all requests while control has no quorum.
UNCONFIRMED_WAIT_S = 3.0


@dataclass
class WatchStatistics:
    """What one watch of a daemon has received, for the log line at its end."""

    started_at: float
    updates: int = 0
    #: Number of the daemon's document in its last update.
    number: int = 0


class HostFollower(Service):
    """Follows every control daemon and merges their updates."""

    def __init__(
        self,
        name: str,
        cfg: RelaySettings,
        clients: RpcClients,
        read_table: TableParser,
    ) -> None:
        """Keep the seeds; ``read_table`` parses a document."""
        super().__init__(name)
        self.index: HostIndex | None = None
        #: Called with each batch of roster records.
        self.on_upstreams: Callable[[tuple[UpstreamRecord, ...]], None] | None
        self.on_upstreams = None
        #: Gossip addresses of the other entries.
        self.entries: frozenset[str] = frozenset()
        #: The data centre of each entry, as far as known.
        self.data_centers: dict[str, str] = {}
        self._entry_directory = EntryDirectory()
        #: The other entries, including those that are cut off now.
        self.fleet = FleetMembers()
        self.evacuations = EvacuationTracker()
        #: Called after each update.
        self.on_update: Callable[[], None] = _ignore_update
        #: Called with the group statuses; with none while no daemon sends any.
        self.on_groups: Callable[[tuple[UpstreamGroupStatus, ...]], None] = (
            _ignore_groups
        )
        #: Called with a daemon's address and its reports of cold and warm
        #: upstreams; with None when its earlier ones no longer hold.
        self.on_warmth: Callable[
            [str, tuple[WarmthReport, ...] | None], None
        ] = _ignore_warmth
        self._wants_warmth = cfg.relay.cold is not None
        #: Number of entries that each daemon knows of.
        self._known_entries: dict[str, int] = {}
        #: When control first listed any entries; None: not yet.
        self.entries_listed_at: float | None = None
        #: Group statuses by daemon; only the leader sends them.
        self._groups: dict[str, tuple[UpstreamGroupStatus, ...]] = {}
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
        #: The highest document number that a quorum confirmed.
        self._confirmed_number = 0
        self._fetcher = DocumentFetcher(
            self._process, RpcClients(), self._apply_document
        )
        self._first_update_at: float | None = None
        self._updated_at: float = 0

    async def start(self, registry: Registry) -> None:
        """Watch the seeds."""
        self._clock = registry.clock
        self._tasks = registry.tasks
        registry.tasks.once('watch-seeds', self._watch_seeds)
        registry.tasks.start(
            'fetch-documents', partial(self._fetcher.run, registry.clock)
        )

    async def reload(self, cfg: object) -> None:
        """Apply changed seeds."""
        if isinstance(cfg, RelaySettings):
            self._seeds = frozenset(cfg.control.grpc_addresses)
            self._watch_all()

    async def stop(self) -> None:
        """Stop the watches, then close the connections.

        A watch that is cancelled while its connection closes may mistake the
        cancellation for a lost connection, and must not reconnect.
        """
        self._stopping = True
        for task in self._watched.values():
            task.cancel()
        self._clients.close()
        self._fetcher.close()

    def ready(self) -> bool:
        """Return whether there is a document to serve by."""
        if self.index is None or self._first_update_at is None:
            return False
        waited_s = self._clock.now() - self._first_update_at
        return self._confirmed or waited_s > UNCONFIRMED_WAIT_S

    @property
    def control_addresses(self) -> frozenset[str]:
        """Return the addresses of the known control daemons."""
        return self._members or self._seeds

    @property
    def number(self) -> int:
        """Return the number of the document in force here."""
        return self._number

    @property
    def known_entries(self) -> int:
        """Return the number of entries that any daemon knows of."""
        return max(self._known_entries.values(), default=0)

    @property
    def update_age_s(self) -> float:
        """Return seconds since the last update from control; -1: none yet."""
        if self._first_update_at is None:
            return -1
        return self._clock.now() - self._updated_at

    def dump(self) -> Mapping[str, object]:
        """Return the state of the follower."""
        return {
            'number': self._number,
            'roster_revision': self._revision,
            'confirmed': self._confirmed,
            'watched': sorted(self._watched),
            'entries': sorted(self.entries),
            'news_age_s': self.update_age_s,
            'evacuations': self.evacuations.dump(),
        }

    async def _watch_seeds(self) -> None:
        """Watch once all services have started and set their addresses."""
        self._watch_all()

    def _watch_all(self) -> None:
        wanted = self._seeds | self._members
        for address in wanted - self._watched.keys():
            self._watched[address] = self._tasks.start(
                f'watch-{address}', partial(self._watch, address)
            )
        for address in self._watched.keys() - wanted:
            self._watched.pop(address).cancel()
            self._known_entries.pop(address, None)
            self.on_warmth(address, None)
            self._clients.retire(address)

    async def _watch(self, address: str) -> None:
        """Follow one daemon until cancelled."""
        loss_logged = False
        while not self._stopping:
            statistics = WatchStatistics(self._clock.now())
            try:
                await self._follow(address, statistics)
            except (UnavailableError, TimeoutError) as exc:
                self._clients.retire(address)
                self._apply_groups(address, ())
                self.on_warmth(address, None)
                self._entry_directory.remove_daemon(address)
                self._fetcher.remove_daemon(address)
                # A daemon that keeps refusing is logged only once.
                if statistics.updates or not loss_logged:
                    self._log_lost(address, statistics, str(exc) or 'silent')
                loss_logged = True
            else:
                loss_logged = False
            await asyncio.sleep(RETRY_S)

    def _log_lost(
        self, address: str, statistics: WatchStatistics, reason: str
    ) -> None:
        logger.info(
            'event=control_lost peer={} reason={!r} lasted_ms={:.0f} news={} '
            + 'number={} told_number={}',
            address,
            reason,
            1000 * (self._clock.now() - statistics.started_at),
            statistics.updates,
            self._number,
            statistics.number,
        )

    async def _follow(self, address: str, statistics: WatchStatistics) -> None:
        req = HostWatchRequest(
            self._process,
            self._number,
            self._revision,
            self.gossip_address,
            fetches=True,
            keeps_groups=True,
            data_center=self.data_center,
            wants_warmth=self._wants_warmth,
        )
        self.on_warmth(address, None)
        stream = self._clients.stream(address, WATCH_HOSTS, req)
        while True:
            async with asyncio.timeout(WATCH_TIMEOUT_S):
                update = await anext(stream, None)
            if update is None:
                return
            if not statistics.updates:
                logger.info('event=control_found peer={}', address)
            statistics.updates += 1
            statistics.number = update.number
            self._apply_update(update, address)

    def _apply_update(self, update: HostUpdate, address: str) -> None:
        now = self._clock.now()
        self._updated_at = now
        if self._first_update_at is None:
            self._first_update_at = now
        self.evacuations.apply(update.evacuations, address)
        if update.document and update.number > self._number:
            # Sent by a daemon of an earlier version.
            self._fetcher.record_received(update.number)
            self._apply_document(update.number, update.document, address)
        self._fetcher.record_document(address, update.number)
        if update.upstreams and self.on_upstreams is not None:
            self.on_upstreams(update.upstreams)
        self._revision = max(self._revision, update.roster_revision)
        if 0 <= update.confirmed_ago_s <= CONFIRMATION_MAX_AGE_S:
            self._confirmed_number = max(self._confirmed_number, update.number)
            self._update_confirmed()
        if update.warmth:
            self.on_warmth(address, update.warmth)
        self._known_entries[address] = update.known_entries
        if not update.groups_unchanged:
            self._apply_groups(address, update.groups)
        if update.entries:
            self._entry_directory.update(
                address, update.entries, update.entry_data_centers
            )
            self._update_entries()
        if update.members and self._members != frozenset(update.members):
            self._members = frozenset(update.members)
            self._watch_all()
        self.on_update()

    def _update_entries(self) -> None:
        self.data_centers = self._entry_directory.merge_data_centers()
        self.entries = frozenset(self.data_centers) - {self.gossip_address}
        now = self._clock.now()
        self.fleet.record(self.entries, now)
        if self.entries_listed_at is None:
            self.entries_listed_at = now

    def _apply_groups(
        self, address: str, groups: tuple[UpstreamGroupStatus, ...]
    ) -> None:
        if groups == self._groups.get(address, ()):
            return
        self._groups[address] = groups
        reported = [one for one in self._groups.values() if one]
        self.on_groups(tuple(chain.from_iterable(reported)))

    def _apply_document(self, number: int, body: bytes, address: str) -> None:
        parsed = self._read_table(body)
        if parsed.is_err():
            logger.error(
                'event=document_unreadable number={} error={!r}',
                number,
                str(parsed.unwrap_err()),
            )
            return
        self.index = HostIndex(parsed.unwrap())
        self._number = number
        logger.info(
            'event=document_in_force number={} routes={} peer={}',
            number,
            len(self.index.table.routes),
            address,
        )
        self._update_confirmed()
        self.on_update()

    def _update_confirmed(self) -> None:
        """Begin to serve once the confirmed document is in force here."""
        if self._confirmed or not 0 < self._confirmed_number <= self._number:
            return
        logger.info('event=document_confirmed number={}', self._number)
        self._confirmed = True


def _ignore_update() -> None:
    """Do nothing; used until a callback is set."""


def _ignore_groups(_: tuple[UpstreamGroupStatus, ...]) -> None:
    """Do nothing; used until a callback for groups is set."""


def _ignore_warmth(
    daemon: str, reports: tuple[WarmthReport, ...] | None
) -> None:
    """Do nothing; used until a callback is set."""
