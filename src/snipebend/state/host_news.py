"""What control daemons tell entries about documents and upstreams."""

from __future__ import annotations

from enum import IntEnum

from msgspec import Struct

from snipebend.state.roster import UpstreamRecord


class HostWatch(Struct, frozen=True):
    """Watch from what a process knows already."""

    process: str
    number: int
    roster_revision: int
    #: Where other entries send their loads to; empty: nowhere.
    gossip_address: str = ''
    #: Whether it fetches documents by parts. One of an earlier version waits
    #: for them in the news.
    fetches: bool = False
    #: Whether it keeps what a watch told of groups until it tells otherwise.
    keeps_groups: bool = False
    data_center: str = ''


class GroupPhase(IntEnum):
    """What a group of upstreams does, as the control leader saw it last."""

    OPEN = 0
    #: Its expert map is being changed.
    SWITCHING = 1
    #: A rank is lost: none of them works until it has formed anew.
    DOWN = 2


class GroupStanding(Struct, frozen=True):
    """Upstreams that work in lock-step, and what they do."""

    group: str
    service: str
    phase: GroupPhase
    #: Identities of its ranks.
    members: tuple[str, ...]
    #: Identities of ranks that hold the others back.
    slow: tuple[str, ...] = ()


class HostNews(Struct, frozen=True):
    """What is newer than the watcher's, or a sign of life.

    ``confirmed_ago_s`` is how long ago a quorum confirmed the sender's state,
    in seconds; negative: never yet.
    """

    number: int
    roster_revision: int
    confirmed_ago_s: float
    #: The document of that number; empty: the watcher has it, or fetches it.
    document: bytes = b''
    upstreams: tuple[UpstreamRecord, ...] = ()
    #: Addresses of the control daemons' gRPC servers.
    members: tuple[str, ...] = ()
    #: Gossip addresses of the entries that watch the sender.
    entries: tuple[str, ...] = ()
    #: Groups of upstreams; empty unless the sender leads.
    groups: tuple[GroupStanding, ...] = ()
    #: What this watch told of groups before holds still.
    groups_hold: bool = False
    #: The data centre of each of the entries, in their order; none: not told.
    entry_places: tuple[str, ...] = ()
