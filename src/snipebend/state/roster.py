"""The replicated roster of upstreams that announce themselves.

An acknowledged announcement must survive the failure of every control daemon:
if the announcement that an upstream is leaving were lost, work would be sent to
an upstream that is shutting down. An identity and its start time identify one
incarnation of an upstream, whose phase never goes back. A later incarnation
under the same identity starts with the first phase. Performs no I/O.
"""

from __future__ import annotations

from enum import IntEnum
from itertools import takewhile

from msgspec import Struct

#: Number of ended upstreams that are kept, so that a late announcement does not
#: bring one back. At 2,200 restarts a day (the target size) that covers more
#: than a day.
MAX_ENDED = 4096


class RosterPhase(IntEnum):
    """The phase of an upstream's incarnation; it never goes back."""

    READY = 0
    LEAVING = 1
    ENDED = 2


class UpstreamRecord(Struct, frozen=True):
    """An incarnation of an upstream, as it announced itself."""

    identity: str
    service: str
    #: ``host:port``; can later be used by another identity.
    address: str
    data_center: str
    #: Number of requests that it runs concurrently.
    slots: int
    phase: RosterPhase = RosterPhase.READY
    #: The revision of the roster that added this record.
    revision: int = 0
    #: Start time of the incarnation in Unix milliseconds; 0 if not reported.
    born: int = 0

    @property
    def incarnation(self) -> str:
        """Return an identifier that no other incarnation has."""
        return f'{self.identity}@{self.born}'

    def supersedes(self, existing: UpstreamRecord | None) -> bool:
        """Return whether this record replaces the known one of its identity.

        A record without a start time refers to the known incarnation. A record
        with another service than that incarnation refers to another upstream.
        """
        if existing is None:
            return True
        if self.born and self.born != existing.born:
            return self.born > existing.born
        if (
            self.service
            and existing.service
            and self.service != existing.service
        ):
            return False
        return self.phase > existing.phase

    def is_newer_occupant(self, other: UpstreamRecord) -> bool:
        """Return whether this incarnation came later to the same address.

        Without start times the later record counts, except for a late
        announcement that the earlier incarnation is leaving.
        """
        if self.born and other.born:
            return self.born > other.born
        if self.phase is not other.phase:
            return self.phase < other.phase
        return self.revision > other.revision


class RecordRequest(Struct, frozen=True):
    """Records an upstream, or a later phase of one."""

    upstream: UpstreamRecord


class RecordReply(Struct, frozen=True):
    """The phase in force afterwards, and the revision of the roster."""

    phase: RosterPhase
    revision: int


class Roster(Struct):
    """All upstreams by identity."""

    revision: int = 0
    upstreams: dict[str, UpstreamRecord] = {}

    def record(self, req: RecordRequest) -> RecordReply:
        """Record an update of an upstream, unless it is outdated."""
        update = req.upstream
        existing = self.upstreams.get(update.identity)
        if existing is not None and not update.supersedes(existing):
            return RecordReply(existing.phase, self.revision)
        self.revision += 1
        source = update
        if (
            existing is not None
            and existing.address
            and update.born in {0, existing.born}
        ):
            source = existing
        self.upstreams.pop(update.identity, None)
        self.upstreams[update.identity] = UpstreamRecord(
            update.identity,
            source.service,
            source.address,
            source.data_center,
            source.slots,
            update.phase,
            self.revision,
            update.born or (existing or update).born,
        )
        self._drop_oldest_ended()
        return RecordReply(update.phase, self.revision)

    def list_occupants(self, service: str) -> dict[str, UpstreamRecord]:
        """Return the upstreams of a service that hold an address.

        An incarnation that crashed announces no end. It has none from the time
        at which another one is announced at its address, of whatever service.
        """
        occupants: dict[str, UpstreamRecord] = {}
        for record in self.upstreams.values():
            if record.phase is RosterPhase.ENDED:
                continue
            other = occupants.get(record.address)
            if other is None or record.is_newer_occupant(other):
                occupants[record.address] = record
        return {
            occupant.identity: occupant
            for occupant in occupants.values()
            if occupant.service == service
        }

    def records_since(
        self, revision: int, max_records: int
    ) -> tuple[UpstreamRecord, ...]:
        """Return the oldest records that are newer than a revision.

        Each update moves a record to the end, so that the records are ordered
        by revision.
        """
        newer = list(
            takewhile(
                lambda record: record.revision > revision,
                reversed(self.upstreams.values()),
            )
        )
        newer.reverse()
        return tuple(newer[:max_records])

    def _drop_oldest_ended(self) -> None:
        ended = [
            record.identity
            for record in self.upstreams.values()
            if record.phase is RosterPhase.ENDED
        ]
        for identity in ended[:-MAX_ENDED]:
            self.upstreams.pop(identity)
