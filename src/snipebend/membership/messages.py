"""Membership messages: announcements of upstreams and the directory."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


class Phase(Enum):
    """The lifecycle phase of an upstream."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    #: The upstream does not respond to its agent; it may recover.
    DOWN = 'down'


class Announcement(Struct, frozen=True):
    """An agent's periodic report on its upstream.

    ``incarnation`` grows with each start of the agent and ``sequence`` with
    each announcement, which allows the receiver to discard late copies.
    ``kv_use`` is the used share of an engine's KV cache (0 to 1), 0 if unknown.
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
    """The fields used from an engine's response to ``GET /load``."""

    kv_used_blocks: int = 0
    kv_blocks: int = 0

    @property
    def kv_use(self) -> float:
        """Return the used share of the KV cache, 0 to 1."""
        if self.kv_blocks <= 0:
            return 0
        return min(1, max(0, self.kv_used_blocks / self.kv_blocks))


class AnnounceReply(Struct, frozen=True):
    """The configuration revision of the control daemon that replied."""

    revision: int


class DirectoryRequest(Struct, frozen=True):
    """Request the currently listed upstreams.

    ``process`` is the name of the requesting process. A watch returns at most
    ``max_upstreams`` of each policy, or all if it is 0.
    """

    process: str
    revision: int = 0
    max_upstreams: int = 0


class Directory(Struct, frozen=True):
    """All upstreams whose lease is valid."""

    upstreams: tuple[Announcement, ...]
    revision: int = 0
