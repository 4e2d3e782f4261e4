"""The replicated roster of upstreams that announce themselves (pure).

What was acknowledged about an upstream must outlive every control daemon: a
leaving that was forgotten would send work to an upstream that is ending. An
identity and the time of its start stand for one life of an upstream, and the
phase of a life only grows. A later life under the same identity begins anew.
"""

from __future__ import annotations

from enum import IntEnum
from itertools import takewhile

from msgspec import Struct

#: Identities of ended upstreams that are remembered, so that a late
#: announcement doesn't bring one back. At 2,200 restarts a day (the target
#: size) they reach back more than a day.
KEEP_ENDED = 4096


class RosterPhase(IntEnum):
    """How far an upstream's life is; it never goes back."""

    READY = 0
    LEAVING = 1
    ENDED = 2


class UpstreamRecord(Struct, frozen=True):
    """One life of an upstream, as it announced itself."""

    identity: str
    service: str
    #: ``host:port``; may belong to another identity later.
    address: str
    data_center: str
    #: Requests that it runs at the same time.
    slots: int
    phase: RosterPhase = RosterPhase.READY
    #: The roster's revision that this record came with.
    revision: int = 0
    #: Unix milliseconds of the life's start; 0: not told.
    born: int = 0

    def is_news_after(self, known: UpstreamRecord | None) -> bool:
        """Tell whether this adds to what is known of the identity.

        What doesn't tell its start speaks of the life that is known. What
        names another service than that life has speaks of somebody else.
        """
        if known is None:
            return True
        if self.born and self.born != known.born:
            return self.born > known.born
        if self.service and known.service and self.service != known.service:
            return False
        return self.phase > known.phase


class RecordRequest(Struct, frozen=True):
    """Note an upstream, or a later phase of one."""

    upstream: UpstreamRecord


class RecordReply(Struct, frozen=True):
    """The phase that holds afterwards, at the roster's revision."""

    phase: RosterPhase
    revision: int


class Roster(Struct):
    """All upstreams by identity."""

    revision: int = 0
    upstreams: dict[str, UpstreamRecord] = {}

    def record(self, req: RecordRequest) -> RecordReply:
        """Take over what is news about an upstream."""
        told = req.upstream
        known = self.upstreams.get(told.identity)
        if known is not None and not told.is_news_after(known):
            return RecordReply(known.phase, self.revision)
        self.revision += 1
        source = told
        if known is not None and known.address and told.born in {0, known.born}:
            source = known
        self.upstreams.pop(told.identity, None)
        self.upstreams[told.identity] = UpstreamRecord(
            told.identity,
            source.service,
            source.address,
            source.data_center,
            source.slots,
            told.phase,
            self.revision,
            told.born or (known or told).born,
        )
        self._forget()
        return RecordReply(told.phase, self.revision)

    def since(self, revision: int, most: int) -> tuple[UpstreamRecord, ...]:
        """Return the oldest records that are newer than a revision.

        What is recorded goes to the end, so that they are in that order.
        """
        newer = list(
            takewhile(
                lambda record: record.revision > revision,
                reversed(self.upstreams.values()),
            )
        )
        newer.reverse()
        return tuple(newer[:most])

    def _forget(self) -> None:
        ended = [
            record.identity
            for record in self.upstreams.values()
            if record.phase is RosterPhase.ENDED
        ]
        for identity in ended[:-KEEP_ENDED]:
            self.upstreams.pop(identity)
