"""The gRPC methods of the control daemons."""

from __future__ import annotations

from snipebend.hosts.parts import DocumentPart, PartRequest
from snipebend.membership.directory_delta import DirectoryDelta
from snipebend.membership.messages import (
    AnnounceReply,
    Announcement,
    Directory,
    DirectoryRequest,
)
from snipebend.state.claims import (
    ClaimReply,
    ClaimRequest,
    SettleReply,
    SettleRequest,
)
from snipebend.state.crashes import (
    CrashReport,
    SuspectCleared,
    SuspectList,
    SuspectQuery,
)
from snipebend.state.evacuations import (
    EvacuationList,
    EvacuationQuery,
    EvacuationReply,
    OrderRequest,
)
from snipebend.state.expert_maps import DecideMapReply, MapDecision, MapQuery
from snipebend.state.fences import FenceQuery, FenceReply, FenceRequest
from snipebend.state.host_updates import HostUpdate, HostWatchRequest
from snipebend.state.messages import (
    ApplyReply,
    ApplyRequest,
    Configuration,
    ShowReply,
    ShowRequest,
    WatchRequest,
)
from snipebend.transport.group_messages import (
    Delivery,
    DeliveryEnd,
    ForwardReply,
    ForwardRequest,
    GroupQuery,
    GroupReply,
    HelloReply,
    HelloRequest,
    JoinReply,
    JoinRequest,
    ReadIndexReply,
    ReadIndexRequest,
)
from snipebend.transport.rpc import Method

APPLY = Method('/snipebend.Control/Apply', ApplyRequest, ApplyReply)
SHOW = Method('/snipebend.Control/Show', ShowRequest, ShowReply)
WATCH = Method(
    '/snipebend.Control/Watch',
    WatchRequest,
    Configuration,
    streams_replies=True,
)
WATCH_HOSTS = Method(
    '/snipebend.Control/WatchHosts',
    HostWatchRequest,
    HostUpdate,
    streams_replies=True,
)
FETCH_PART = Method('/snipebend.Control/FetchPart', PartRequest, DocumentPart)
ANNOUNCE = Method(
    '/snipebend.Control/Announce',
    Announcement,
    AnnounceReply,
    streams_requests=True,
)
CONFIRM = Method(
    '/snipebend.Control/Confirm',
    DirectoryRequest,
    AnnounceReply,
    streams_requests=True,
)
WATCH_DIRECTORY = Method(
    '/snipebend.Control/WatchDirectory',
    DirectoryRequest,
    DirectoryDelta,
    streams_replies=True,
)
DIRECTORY = Method(
    '/snipebend.Control/Directory',
    DirectoryRequest,
    Directory,
)
CLAIM = Method('/snipebend.Control/Claim', ClaimRequest, ClaimReply)
SETTLE = Method('/snipebend.Control/Settle', SettleRequest, SettleReply)
TAKE_FENCE = Method('/snipebend.Control/TakeFence', FenceRequest, FenceReply)
READ_FENCE = Method('/snipebend.Control/ReadFence', FenceQuery, FenceReply)
REPORT_CRASH = Method(
    '/snipebend.Control/ReportCrash',
    CrashReport,
    SuspectList,
)
CLEAR_SUSPECT = Method(
    '/snipebend.Control/ClearSuspect',
    SuspectCleared,
    SuspectList,
)
SUSPECTS = Method('/snipebend.Control/Suspects', SuspectQuery, SuspectList)
DECIDE_MAP = Method(
    '/snipebend.Control/DecideMap',
    MapDecision,
    DecideMapReply,
)
READ_MAP = Method('/snipebend.Control/ReadMap', MapQuery, DecideMapReply)
ORDER_EVACUATION = Method(
    '/snipebend.Control/OrderEvacuation',
    OrderRequest,
    EvacuationReply,
)
LIST_EVACUATIONS = Method(
    '/snipebend.Control/ListEvacuations',
    EvacuationQuery,
    EvacuationList,
)
DELIVER = Method(
    '/snipebend.Group/Deliver',
    Delivery,
    DeliveryEnd,
    streams_requests=True,
)
HELLO = Method('/snipebend.Group/Hello', HelloRequest, HelloReply)
JOIN = Method('/snipebend.Group/Join', JoinRequest, JoinReply)
FORWARD = Method('/snipebend.Group/Forward', ForwardRequest, ForwardReply)
READ_INDEX = Method(
    '/snipebend.Group/ReadIndex',
    ReadIndexRequest,
    ReadIndexReply,
)
GROUP = Method('/snipebend.Group/Group', GroupQuery, GroupReply)
