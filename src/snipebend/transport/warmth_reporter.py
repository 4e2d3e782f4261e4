"""Tells entries which upstreams a control daemon has heard to be cold."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from loguru import logger

from snipebend.relay.entry_directory import FleetMembers
from snipebend.state.roster import RosterPhase
from snipebend.state.warmth import WarmthLog

if TYPE_CHECKING:
    from snipebend.kernel.clock import Clock
    from snipebend.state.host_updates import HostWatchRequest
    from snipebend.state.roster import UpstreamRecord
    from snipebend.state.warmth import WarmthHearing, WarmthReport
    from snipebend.transport.replicated_state import ReplicatedState

#: Maximum number of reports in one update, about 25 KB.
MAX_REPORTS = 512


@dataclass(slots=True)
class WarmthCursor:
    """How far one watch has sent the reports to its watcher."""

    revision: int = 0


class WarmthReporter:
    """Keeps what this daemon hears, and the entries that it knows."""

    def __init__(self) -> None:
        """Create a reporter that has heard nothing."""
        self._log = WarmthLog()
        self._watches: dict[str, int] = {}
        self._entries = FleetMembers()

    def start(self, clock: Clock, store: ReplicatedState) -> None:
        """Set the clock, and the state whose watchers are notified."""
        self._clock = clock
        self._store = store

    def hear(
        self, record: UpstreamRecord, hearing: WarmthHearing | None
    ) -> None:
        """Record a heartbeat, and notify the watchers of a change.

        A late one of a former incarnation changes nothing.
        """
        if hearing is None or record.phase is RosterPhase.ENDED:
            return
        roster = self._store.machine.state.roster
        known = roster.upstreams.get(hearing.upstream)
        if known is not None and 0 < hearing.born < known.born:
            return
        change = self._log.hear(hearing, self._clock.now())
        if change is None:
            return
        cold_s = change.cold_s
        logger.info(
            'event=warmth_heard upstream={} state={} cold_ms={} beat={}',
            change.report.upstream,
            change.report.warmth.name.lower(),
            '-' if cold_s is None else round(1000 * cold_s),
            change.report.number,
        )
        self._store.notify_changed()

    def reports_since(
        self, req: HostWatchRequest, cursor: WarmthCursor
    ) -> tuple[WarmthReport, ...]:
        """Return the reports not yet sent to a watcher; advance the cursor."""
        if not req.wants_warmth:
            return ()
        silent = self._log.remove_silent(self._clock.now())
        if silent:
            logger.info(
                'event=warmth_withdrawn upstreams={} first={}',
                len(silent),
                silent[0],
            )
        reports, revision = self._log.reports_since(
            cursor.revision, MAX_REPORTS
        )
        cursor.revision = revision
        return reports

    def has_news(self, req: HostWatchRequest, cursor: WarmthCursor) -> bool:
        """Return whether there are reports that a watcher was not sent."""
        return req.wants_warmth and self._log.revision > cursor.revision

    @property
    def known_entries(self) -> int:
        """Return the number of entries that watch or did so lately."""
        return self._entries.count(self._clock.now())

    def record_entry(self, address: str) -> None:
        """Record an entry, by its gossip address, that has begun to watch."""
        if address:
            self._watches[address] = self._watches.get(address, 0) + 1
            self._entries.record(self._watches, self._clock.now())

    def record_lost_entry(self, address: str) -> None:
        """Record that an entry has ended a watch."""
        left = self._watches.pop(address, 0) - 1
        if left > 0:
            self._watches[address] = left
        self._entries.record(self._watches, self._clock.now())

    def dump(self) -> dict[str, object]:
        """Return how many upstreams were heard, and how many entries known."""
        return {'heard': len(self._log), 'entries': self.known_entries}
