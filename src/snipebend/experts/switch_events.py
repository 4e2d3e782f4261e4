"""Events and actions of the switch coordinator; times are in seconds."""

from __future__ import annotations

from typing import NamedTuple

from snipebend.experts.switch_messages import (
    GroupRecord,
    MapStamp,
    RankOrder,
    RankReport,
    RecordChange,
)


class Tick(NamedTuple):
    """Time has passed."""


class MapProposed(NamedTuple):
    """The policy asks for a map, with each member's bytes to fetch.

    ``hold_ahead`` is the number of steps that the fetches may take and
    ``pace`` the share of the weight store's rate that they may use; the map
    was made for ``members`` in ``incarnation``.
    """

    incarnation: int
    members: tuple[str, ...]
    digest: str
    fetch_bytes: dict[str, int]
    hold_ahead: int
    placement: bytes = b''
    pace: float = 1


class RankReported(NamedTuple):
    """A rank has answered or spoken up."""

    report: RankReport


class RanksAnnounced(NamedTuple):
    """The ranks that are held for alive; the others are lost."""

    ranks: tuple[str, ...]


class RecordCommitted(NamedTuple):
    """The asked change, or a newer one, is committed."""

    record: GroupRecord


class Superseded(NamedTuple):
    """This coordinator no longer holds the group's fence."""


CoordinatorEvent = (
    Tick
    | MapProposed
    | RankReported
    | RanksAnnounced
    | RecordCommitted
    | Superseded
)


class SendOrder(NamedTuple):
    """Send an order to a rank; it may be lost or come late."""

    rank: str
    order: RankOrder


class PersistDecision(NamedTuple):
    """Commit a change; answer with ``RecordCommitted`` once it is durable."""

    change: RecordChange


class NeedMap(NamedTuple):
    """The members have changed: ask the policy for a map of these."""

    incarnation: int
    members: tuple[str, ...]


class SwitchEnded(NamedTuple):
    """A switch has ended.

    ``activated``, ``aborted``, ``interrupted`` by a change of members, or
    ``deferred`` because the weight store is booked out.
    """

    stamp: MapStamp
    outcome: str


CoordinatorAction = SendOrder | PersistDecision | NeedMap | SwitchEnded
