"""Messages from control daemons to entries that route by HTTP host name.

They carry documents, which assign HTTP hosts and paths to services, and the
upstreams of these services.
"""

from __future__ import annotations

from enum import IntEnum

from msgspec import Struct, field

from snipebend.state.roster import UpstreamRecord
from snipebend.state.warmth import WarmthReport


class HostWatchRequest(Struct, frozen=True):
    """Subscribes to updates after the state that a process already has."""

    process: str
    number: int
    roster_revision: int
    #: Address to which other entries send their loads; empty if none.
    gossip_address: str = ''
    #: Whether the process fetches documents in parts. A process of an earlier
    #: version expects them in the updates.
    fetches: bool = False
    #: Whether the process keeps the groups of the previous update if an
    #: update says that they have not changed.
    keeps_groups: bool = False
    data_center: str = ''
    #: Whether the process is told which upstreams are cold and warm.
    wants_warmth: bool = False


class GroupPhase(IntEnum):
    """The latest phase of an upstream group observed by the control leader."""

    OPEN = 0
    #: Its expert map is being changed.
    SWITCHING = 1
    #: A rank is lost: no rank works until the group has formed again.
    DOWN = 2


class UpstreamGroupStatus(Struct, frozen=True):
    """Status of a group of upstreams that compute in lock-step."""

    group: str
    service: str
    phase: GroupPhase
    #: Identities of the ranks.
    members: tuple[str, ...]
    #: Identities of ranks that delay the others.
    slow: tuple[str, ...] = ()


class EvacuationNews(Struct, frozen=True):
    """The evacuated data centres; a later revision replaces an earlier one."""

    #: 0: the sender knows nothing of evacuations.
    revision: int = 0
    data_centers: tuple[str, ...] = ()


class HostUpdate(Struct, frozen=True):
    """What has changed since the watcher's state, or only a heartbeat.

    ``confirmed_ago_s`` is the time in seconds since a quorum last confirmed
    that the sender's state was current; negative if it never has.
    """

    number: int
    roster_revision: int
    confirmed_ago_s: float
    #: The document ``number``; empty if the watcher has or fetches it.
    document: bytes = b''
    upstreams: tuple[UpstreamRecord, ...] = ()
    #: Addresses of the control daemons' gRPC servers.
    members: tuple[str, ...] = ()
    #: Gossip addresses of the entries that watch the sender.
    entries: tuple[str, ...] = ()
    #: Groups of upstreams; empty unless the sender is the leader.
    groups: tuple[UpstreamGroupStatus, ...] = ()
    #: The groups are unchanged since the previous update of this watch.
    groups_unchanged: bool = field(default=False, name='groups_hold')
    #: The data centre of each of ``entries``, in the same order; empty if
    #: not reported.
    entry_data_centers: tuple[str, ...] = field(default=(), name='entry_places')
    #: Sent with each update.
    evacuations: EvacuationNews = EvacuationNews()
    #: Reports on upstreams that have turned cold or warm or fallen silent since
    #: the previous update of this watch; the first updates hold all.
    warmth: tuple[WarmthReport, ...] = ()
    #: Number of entries that watch the sender or did so lately; 0: not stated.
    known_entries: int = 0
