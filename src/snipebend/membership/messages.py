"""Messages about upstreams: announcements and the directory."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


class Phase(Enum):
    """Where an upstream is in its life."""

    SERVING = 'serving'
    LEAVING = 'leaving'


class Announcement(Struct, frozen=True):
    """What an agent says of its upstream, again and again.

    ``incarnation`` grows with each start of the agent, ``sequence`` with each
    announcement, so that late copies can be told from news.
    """

    upstream: str
    policy: str
    data_center: str
    http_address: str
    grpc_address: str
    incarnation: int
    sequence: int
    phase: Phase = Phase.SERVING
    running: int = 0
    queued: int = 0
    revision: int = 0


class AnnounceReply(Struct, frozen=True):
    """The receiver's configuration revision."""

    revision: int


class DirectoryRequest(Struct, frozen=True):
    """Ask for the upstreams known right now; ``process`` names the asker.

    A watch shows at most ``max_upstreams`` of each policy; 0: all of them.
    """

    process: str
    revision: int = 0
    max_upstreams: int = 0


class Directory(Struct, frozen=True):
    """All upstreams whose announcements are fresh."""

    upstreams: tuple[Announcement, ...]
    revision: int = 0
