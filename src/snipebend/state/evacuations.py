"""Which data centres operators have evacuated; performs no I/O.

An order names the revision that its control daemon knew when it took it. That
tells an order that arrives late, after others about the same data centre were
acknowledged, from a new one. Each acknowledged order raises the revision, also
one that changes nothing: its operator was told what is in force from then on,
and no earlier order may change it.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct, structs

#: Number of ended evacuations whose revisions are kept by data centre. A fleet
#: has tens of data centres; of those beyond, the highest revision is kept.
MAX_ENDED = 256


class EvacuationOutcome(Enum):
    """What became of an order."""

    CHANGED = 'changed'
    #: The state already was as asked.
    UNCHANGED = 'unchanged'
    #: A later order about the data centre was acknowledged before.
    OUTDATED = 'outdated'
    #: No such data centre; the order isn't executed.
    UNKNOWN = 'unknown'


class OrderRequest(Struct, frozen=True):
    """An operator's order to a control daemon."""

    data_center: str
    #: Whether to evacuate it, or to end its evacuation.
    evacuate: bool
    #: Who asks, as far as known.
    ordered_by: str = ''


class EvacuationOrder(Struct, frozen=True):
    """Asks that a data centre be evacuated, or that its evacuation end."""

    data_center: str
    evacuate: bool
    #: The revision known to the control daemon that took the order.
    after: int
    #: Who asked, as far as known.
    ordered_by: str = ''


class EvacuationReply(Struct, frozen=True):
    """The outcome of an order, and the revision afterwards."""

    outcome: EvacuationOutcome
    revision: int


class EvacuationRecord(Struct, frozen=True):
    """The state of one data centre since an operator changed it."""

    evacuated: bool
    #: Time of the change in Unix seconds.
    since: float
    #: The revision of the latest acknowledged order.
    revision: int
    #: Who asked for the change, as far as known.
    ordered_by: str = ''


class EvacuationQuery(Struct, frozen=True):
    """Asks for the latest orders."""


class EvacuationList(Struct, frozen=True):
    """The latest order about each data centre, by name."""

    revision: int
    records: dict[str, EvacuationRecord]


class EvacuationState(Struct):
    """The latest order about each data centre."""

    #: Number of acknowledged orders.
    revision: int = 0
    records: dict[str, EvacuationRecord] = {}
    #: The highest revision of the records that were dropped.
    dropped_revision: int = 0

    def execute(self, order: EvacuationOrder, now: float) -> EvacuationReply:
        """Execute an order at a time in Unix seconds, unless it is outdated."""
        known = self.records.get(order.data_center)
        evacuated = known is not None and known.evacuated
        latest = known.revision if known else self.dropped_revision
        if order.evacuate != evacuated and latest > order.after:
            return EvacuationReply(EvacuationOutcome.OUTDATED, self.revision)
        self.revision += 1
        outcome = EvacuationOutcome.CHANGED
        record = EvacuationRecord(
            order.evacuate, now, self.revision, order.ordered_by
        )
        if order.evacuate == evacuated:
            outcome = EvacuationOutcome.UNCHANGED
            if known is not None:
                record = structs.replace(known, revision=self.revision)
        self.records.pop(order.data_center, None)
        self.records[order.data_center] = record
        self._drop_oldest_ended()
        return EvacuationReply(outcome, self.revision)

    def list_evacuated(self) -> tuple[str, ...]:
        """Return the names of the evacuated data centres, sorted."""
        return tuple(
            sorted(name for name, one in self.records.items() if one.evacuated)
        )

    def _drop_oldest_ended(self) -> None:
        ended = [
            name for name, one in self.records.items() if not one.evacuated
        ]
        for name in ended[:-MAX_ENDED]:
            dropped = self.records.pop(name)
            self.dropped_revision = max(self.dropped_revision, dropped.revision)
