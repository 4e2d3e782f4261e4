"""What control daemons tell entries about documents and upstreams."""

from __future__ import annotations

from msgspec import Struct

from snipebend.state.roster import UpstreamRecord


class HostWatch(Struct, frozen=True):
    """Watch from what a process knows already."""

    process: str
    number: int
    roster_revision: int
    #: Where other entries send their loads to; empty: nowhere.
    gossip_address: str = ''


class HostNews(Struct, frozen=True):
    """What is newer than the watcher's, or a sign of life.

    ``confirmed_ago_s`` is how long ago a quorum confirmed the sender's state,
    in seconds; negative: never yet.
    """

    number: int
    roster_revision: int
    confirmed_ago_s: float
    #: The document of that number; empty: the watcher has it.
    document: bytes = b''
    upstreams: tuple[UpstreamRecord, ...] = ()
    #: Addresses of the control daemons' gRPC servers.
    members: tuple[str, ...] = ()
    #: Gossip addresses of the entries that watch the sender.
    entries: tuple[str, ...] = ()
    #: Upstreams that hold their group back, as far as the sender knows.
    slow: tuple[str, ...] = ()
