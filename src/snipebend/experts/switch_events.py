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
    """Periodic event that triggers timeouts and repeated messages."""


class MapProposed(NamedTuple):
    """The policy proposes a map, with the bytes that each member must fetch.

    ``hold_ahead`` is the number of steps allowed for the fetches and
    ``rate_share`` the share of the weight store's rate that they may use. The
    map was computed for ``members`` in ``incarnation``.
    """

    incarnation: int
    members: tuple[str, ...]
    digest: str
    fetch_bytes: dict[str, int]
    hold_ahead: int
    placement: bytes = b''
    rate_share: float = 1


class RankReported(NamedTuple):
    """A report of a rank was received, solicited or not."""

    report: RankReport


class RanksAnnounced(NamedTuple):
    """The ranks that are considered alive; all others are lost."""

    ranks: tuple[str, ...]


class RecordCommitted(NamedTuple):
    """The requested change, or a newer one, is committed."""

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
    """Send an order to a rank; the order may be lost or delayed."""

    rank: str
    order: RankOrder


class PersistDecision(NamedTuple):
    """Commit a change; ``RecordCommitted`` follows once it is durable."""

    change: RecordChange


class NeedMap(NamedTuple):
    """Request a map for the changed set of members from the policy."""

    incarnation: int
    members: tuple[str, ...]


class SwitchEnded(NamedTuple):
    """The outcome of a switch.

    One of ``activated``, ``aborted``, ``interrupted`` by a change of members,
    or ``deferred`` because the weight store has no capacity left.
    """

    stamp: MapStamp
    outcome: str


CoordinatorAction = SendOrder | PersistDecision | NeedMap | SwitchEnded
