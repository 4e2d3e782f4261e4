"""Messages and records of the expert map switch of groups with agents.

The groups are those of the fleet file, and the agent of each rank receives the
orders. ``direct_orders`` has types of the same names (``Prepare``,
``RankReport``, ``RankOrder``) for engines without agents.

Steps are counted from 0 in each group. Map versions increase by one with every
proposal of a group, whether it is decided or aborted.
"""

from __future__ import annotations

from msgspec import Struct


class MapStamp(Struct, frozen=True, order=True):
    """Incarnation and map version, exchanged at each step barrier."""

    incarnation: int = 0
    map_version: int = 0


class SwitchDecision(Struct, frozen=True):
    """A decided map, in force for ``members`` from ``step`` on.

    ``placement`` is the encoded map, which ``digest`` identifies.
    """

    stamp: MapStamp
    step: int
    digest: str
    members: tuple[str, ...]
    placement: bytes = b''


class GroupRecord(Struct, frozen=True):
    """The committed state of one group.

    ``incarnation`` can be higher than the decision's while a map for the new
    members is being prepared. All versions up to ``settled`` are decided or
    aborted.
    """

    incarnation: int = 0
    settled: int = 0
    decision: SwitchDecision | None = None


class Decide(Struct, frozen=True, tag=True):
    """Decide on a prepared map; committed before any activation."""

    decision: SwitchDecision


class Abort(Struct, frozen=True, tag=True):
    """Abort a version permanently."""

    map_version: int


class Bump(Struct, frozen=True, tag=True):
    """Start a new incarnation; settles every version up to ``settled``."""

    incarnation: int
    settled: int


RecordChange = Decide | Abort | Bump


class Prepare(Struct, frozen=True, tag=True):
    """Fetch a map's weights, then promise to hold at the decision's step.

    ``base`` is the stamp of the map to be replaced and ``fetch_bytes`` the
    rank's share of the weights, to be fetched no earlier than ``fetch_at``
    (seconds). Only the ``life`` of the rank (one run of its guard) that has
    reported to the coordinator may accept: a restarted rank has lost its
    barrier entries and promises.
    """

    group: str
    fence: int
    life: int
    base: MapStamp
    decision: SwitchDecision
    fetch_bytes: int = 0
    fetch_at: float = 0


class Activate(Struct, frozen=True, tag=True):
    """The committed record of the group, pushed or sent on a rank's request."""

    group: str
    fence: int
    record: GroupRecord


class StatusQuery(Struct, frozen=True, tag=True):
    """Request a report from a rank."""

    group: str
    fence: int


RankOrder = Prepare | Activate | StatusQuery


class RankReport(Struct, frozen=True):
    """A rank's response to every order.

    ``life`` increases with each start of the rank's guard and ``sequence`` with
    each report. ``installed`` is the newest stamp whose decision the rank
    knows, ``prepared`` the stamp that it has promised to hold for, and
    ``too_late`` a stamp whose hold step the rank had already entered.
    ``next_step`` is the first step that the rank has not entered.
    """

    rank: str
    life: int
    sequence: int
    fence: int
    installed: MapStamp
    prepared: MapStamp
    too_late: MapStamp
    next_step: int
    refused: bool = False


class BarrierEntry(Struct, frozen=True):
    """A rank's arrival at the barrier of a step."""

    rank: str
    step: int
    stamp: MapStamp


def change_record(
    record: GroupRecord, change: RecordChange
) -> GroupRecord | None:
    """Return the record after a change, or None if it no longer applies.

    Every version is settled once, and only in the current incarnation. The
    caller of this function checks the fence of the requester.
    """
    match change:
        case Decide(decision):
            return _decide(record, decision)
        case Abort(map_version) if map_version > record.settled:
            return GroupRecord(record.incarnation, map_version, record.decision)
        case Bump(incarnation, settled) if incarnation > record.incarnation:
            return GroupRecord(
                incarnation,
                max(settled, record.settled),
                record.decision,
            )
    return None


def _decide(
    record: GroupRecord, decision: SwitchDecision
) -> GroupRecord | None:
    stamp = decision.stamp
    if stamp.incarnation != record.incarnation:
        return None
    if stamp.map_version <= record.settled:
        return None
    return GroupRecord(record.incarnation, stamp.map_version, decision)
