"""Messages and rules for decisions on expert maps; performs no I/O."""

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
    """A change of a group's record by the holder of the group's fence."""

    group: str
    fence: int
    change: RecordChange


class DecideMapReply(Struct, frozen=True):
    """Whether the change was accepted, and the record in force."""

    accepted: bool
    record: GroupRecord


class MapQuery(Struct, frozen=True):
    """Requests a group's record from a quorum."""

    group: str


class MapState(Struct):
    """Replicated state: the committed record of each group, by group name."""

    records: dict[str, GroupRecord] = {}

    def decide(self, req: MapDecision, fence: int) -> DecideMapReply:
        """Apply a change if its fence is in force and the record permits it.

        A resend of a change that was already applied is accepted again.
        """
        record = self.records.get(req.group, GroupRecord())
        if req.fence != fence:
            return DecideMapReply(accepted=False, record=record)
        changed = change_record(record, req.change)
        if changed is None:
            accepted = _is_already_applied(record, req.change)
            return DecideMapReply(accepted=accepted, record=record)
        self.records[req.group] = changed
        return DecideMapReply(accepted=True, record=changed)

    def read(self, group: str) -> DecideMapReply:
        """Return the record of a group."""
        record = self.records.get(group, GroupRecord())
        return DecideMapReply(accepted=False, record=record)


def _is_already_applied(record: GroupRecord, change: RecordChange) -> bool:
    """Return whether an inapplicable change had been applied before."""
    match change:
        case Decide(decision):
            return record.decision == decision
        case Abort(map_version):
            return _was_aborted(record, map_version)
        case Bump(incarnation):
            return record.incarnation == incarnation


def _was_aborted(record: GroupRecord, map_version: int) -> bool:
    """Return whether a version is settled, but not the one last decided.

    Versions of earlier decisions, which a later one has replaced, are included.
    """
    decision = record.decision
    decided = decision.stamp.map_version if decision else 0
    return map_version != decided and map_version <= record.settled
