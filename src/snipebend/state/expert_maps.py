"""Messages about expert map decisions, and the rules for them (pure)."""

from __future__ import annotations

from msgspec import Struct

from snipebend.experts.switch_messages import (
    Abort,
    Bump,
    Decide,
    GroupRecord,
    RecordChange,
    change_record,
)


class MapDecision(Struct, frozen=True):
    """A change of a group's record by the holder of its fence."""

    group: str
    fence: int
    change: RecordChange


class DecideMapReply(Struct, frozen=True):
    """Whether the change stands, and the record in force."""

    accepted: bool
    record: GroupRecord


class MapQuery(Struct, frozen=True):
    """Ask a quorum for a group's record."""

    group: str


class MapBook(Struct):
    """The record of each group."""

    records: dict[str, GroupRecord] = {}

    def decide(self, req: MapDecision, fence: int) -> DecideMapReply:
        """Let a change stand if its fence is in force and it still applies.

        A resend of a change that stands is accepted again.
        """
        record = self.records.get(req.group, GroupRecord())
        if req.fence != fence:
            return DecideMapReply(accepted=False, record=record)
        changed = change_record(record, req.change)
        if changed is None:
            accepted = _stands(record, req.change)
            return DecideMapReply(accepted=accepted, record=record)
        self.records[req.group] = changed
        return DecideMapReply(accepted=True, record=changed)

    def read(self, group: str) -> DecideMapReply:
        """Return the record of a group."""
        record = self.records.get(group, GroupRecord())
        return DecideMapReply(accepted=False, record=record)


def _stands(record: GroupRecord, change: RecordChange) -> bool:
    """Tell whether a change that no longer applies was made before."""
    match change:
        case Decide(decision):
            return record.decision == decision
        case Abort(map_version):
            return _was_aborted(record, map_version)
        case Bump(incarnation):
            return record.incarnation == incarnation


def _was_aborted(record: GroupRecord, map_version: int) -> bool:
    decision = record.decision
    decided = decision.stamp.map_version if decision else 0
    return map_version != decided and map_version <= record.settled
