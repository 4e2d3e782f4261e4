"""Messages about upstreams: announcements and the directory."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


class Phase(Enum):
    """Where an upstream is in its life."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    #: It doesn't answer its agent; it may come back.
    DOWN = 'down'


class Announcement(Struct, frozen=True):
    """What an agent says of its upstream, again and again.

    ``incarnation`` grows with each start of the agent, ``sequence`` with each
    announcement, so that late copies can be told from news. ``kv_use`` is the
    used share of an engine's KV cache (0 to 1), 0 while it isn't known.
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
    kv_use: float = 0


class EngineLoad(Struct, frozen=True):
    """What is read of an engine's ``GET /load``."""

    kv_used_blocks: int = 0
    kv_blocks: int = 0

    @property
    def kv_use(self) -> float:
        """Return the used share of the KV cache, 0 to 1."""
        if self.kv_blocks <= 0:
            return 0
        return min(1, max(0, self.kv_used_blocks / self.kv_blocks))


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
