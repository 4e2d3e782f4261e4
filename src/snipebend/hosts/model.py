"""The table that tells which service takes a request, by host and path."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class Kind(Enum):
    """What may be done again with a request."""

    #: Idempotent: may run more than once.
    SAFE = 'safe'
    #: Runs once at most.
    UNSAFE = 'unsafe'
    #: Answered by a stream of events; runs once unless it can be resumed.
    STREAM = 'stream'


class Split(NamedTuple):
    """A service's part of a route's requests."""

    service: str
    weight: int


class HostRoute(NamedTuple):
    """Requests of one host below one path prefix; times in seconds."""

    name: str
    host: str
    prefix: str
    kind: Kind
    timeout_s: float
    #: An answer within it is worth its full value.
    target_s: float
    #: 0 is the most urgent.
    priority: int
    splits: tuple[Split, ...]
    #: Upstreams that one request may be sent to.
    max_attempts: int
    #: Whether a request without a key is taken.
    anonymous: bool = False
    #: Whether a stream may go on at another upstream after its last event.
    resumable: bool = False
    #: Longest pause between two events of a stream that is still on time.
    gap_s: float = 0

    @property
    def idempotent(self) -> bool:
        """Tell whether a request may run more than once."""
        match self.kind:
            case Kind.SAFE:
                return True
            case Kind.STREAM:
                return self.resumable
            case Kind.UNSAFE:
                return False


class EngineProfile(NamedTuple):
    """What a service's model engines declare of themselves."""

    #: Requests that one engine batches.
    slots: int
    #: Tokens that fit one engine's memory.
    memory_tokens: int
    #: Tensor sets whose experts are placed separately; 0: no experts.
    layers: int = 0
    experts: int = 0
    #: Experts of one layer that one rank holds at most.
    places: int = 0
    #: Experts of one layer that one change may bring to a rank at most.
    spare: int = 0
    #: Seconds to bring one expert to a rank.
    fetch_s: float = 0
    #: Share of a token's work that its experts do.
    expert_share: float = 0
    #: Seconds by which reports are old.
    report_lag_s: float = 0.5


class HostService(NamedTuple):
    """A service and how its upstreams are called."""

    name: str
    health_path: str
    #: Connections that one upstream accepts from all callers together.
    max_connections: int
    engine: EngineProfile | None = None


class HostWorkspace(NamedTuple):
    """A workspace and the keys that prove it."""

    name: str
    keys: tuple[str, ...]
    #: Goes before the route's; absent: the route's holds.
    priority: int | None = None


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take; in bytes, seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class HostTable(NamedTuple):
    """One numbered document as a whole."""

    number: int
    routes: tuple[HostRoute, ...] = ()
    services: tuple[HostService, ...] = ()
    workspaces: tuple[HostWorkspace, ...] = ()
    limits: CallerLimits = CallerLimits()
