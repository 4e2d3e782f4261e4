"""The table that maps requests to services, by host and path."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class RequestKind(Enum):
    """Whether a request may run again."""

    #: Idempotent: may run more than once.
    SAFE = 'safe'
    #: Not idempotent: may run at most once.
    UNSAFE = 'unsafe'
    #: The response is a stream of events; runs once unless it can be resumed.
    STREAM = 'stream'


class TrafficSplit(NamedTuple):
    """The share of a route's requests that a service gets."""

    service: str
    weight: int


class HostRoute(NamedTuple):
    """Requests to one host below one path prefix; times in seconds."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    #: Target latency of a response, or of a stream's first event. The platform
    #: rates a response within it at its full value. Admission by room calls
    #: requests by it.
    target_s: float
    #: 0 is the most urgent.
    priority: int
    splits: tuple[TrafficSplit, ...]
    #: Upstreams that one request may be sent to.
    max_attempts: int
    #: Whether requests without an API key are admitted.
    anonymous: bool = False
    #: Whether a stream may resume at another upstream after its last event.
    resumable: bool = False
    #: Longest pause between two events of a stream that is still on time.
    gap_s: float = 0

    @property
    def idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        match self.kind:
            case RequestKind.SAFE:
                return True
            case RequestKind.STREAM:
                return self.resumable
            case RequestKind.UNSAFE:
                return False


class EngineProfile(NamedTuple):
    """The capabilities that a service's model engines declare."""

    #: Requests that one engine batches.
    slots: int
    #: Tokens that fit into the memory of one engine.
    memory_tokens: int
    #: Tensor sets whose experts are placed independently; 0: no experts.
    layers: int = 0
    experts: int = 0
    #: Experts of one layer that one rank can hold.
    places: int = 0
    #: Experts of one layer that one change can bring to a rank.
    spare: int = 0
    #: Seconds to transfer one expert to a rank.
    fetch_s: float = 0
    #: Share of a token's work that its experts do.
    expert_share: float = 0
    #: Age of an engine's reports in seconds.
    report_lag_s: float = 0.5
    #: Seconds of one token step without requests, and for each one that writes.
    step_s: float = 0
    request_step_s: float = 0
    #: Steps of one pass, after which a stream has its next event.
    pass_steps: int = 1
    #: Prompt tokens read per second, and at most in one step.
    read_per_s: float = 0
    read_per_step: int = 0
    #: Seconds from the return of a lost rank until its group works again.
    form_s: float = 0


class HostService(NamedTuple):
    """A service and how its upstreams are called."""

    name: str
    health_path: str
    #: Connections that one upstream accepts from all callers together.
    max_connections: int
    engine: EngineProfile | None = None
    #: Seconds for which an upstream is cold after its start.
    cold_start_s: float = 0
    #: Requests per second that a cold upstream accepts from all entries; 0:
    #: its upstreams are never cold.
    cold_per_s: float = 0


class HostWorkspace(NamedTuple):
    """A workspace and its API keys."""

    name: str
    keys: tuple[str, ...]
    #: Overrides the priority of the route unless None.
    priority: int | None = None


class CallerLimits(NamedTuple):
    """Limits on what a caller sends, in bytes and seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    #: Limit of the time to receive a complete request header.
    header_timeout_s: float = 3.0
    #: Limit of each wait for the next request or for more bytes of a body.
    input_timeout_s: float = 15.0


class HostTable(NamedTuple):
    """One numbered document."""

    number: int
    routes: tuple[HostRoute, ...] = ()
    services: tuple[HostService, ...] = ()
    workspaces: tuple[HostWorkspace, ...] = ()
    limits: CallerLimits = CallerLimits()
