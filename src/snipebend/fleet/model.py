"""The records of a fleet file, immutable and compared by value."""

from __future__ import annotations

from typing import Literal, NamedTuple

StalePolicy = Literal['refuse', 'serve']
UpstreamKind = Literal['engine', 'service']
Fencing = Literal['checked', 'ignored']

# The sections of named entries, in the order of the file.
ENTRY_SECTIONS = (
    'priorities',
    'upstreams',
    'groups',
    'workspaces',
    'services',
)


class Weights(NamedTuple):
    """What rebalancing minimises: ``skew * step skew + cost * move cost``."""

    skew: float
    cost: float


class RoutingPolicy(NamedTuple):
    """Limits of one request's way through the fleet.

    ``retry_ratio`` is the share of retries among requests that the retry
    budget allows; ``crash_limit`` counts the upstream crashes after which a
    request is quarantined for ``quarantine_s`` seconds; ``answer_bytes``
    bounds one stored answer; ``config_lease_s`` is how long a process trusts
    its configuration without hearing that it is still in force.
    """

    request_timeout_s: float = 120.0
    attempt_timeout_s: float = 60.0
    retry_ratio: float = 0.1
    crash_limit: int = 2
    quarantine_s: float = 600.0
    max_body_bytes: int = 1_048_576
    answer_bytes: int = 262_144
    config_lease_s: float = 5.0


class Priority(NamedTuple):
    """A class of work; its rank is its position, the first is the highest."""

    name: str
    weight: int
    queue_limit: int


class UpstreamPolicy(NamedTuple):
    """How to treat the upstreams that announce themselves under a name.

    ``model`` is empty for plain services. ``fencing`` says whether the
    upstream itself refuses an order with an old fencing number.
    """

    name: str
    kind: UpstreamKind
    model: str
    fencing: Fencing
    max_concurrency: int
    slow_start_s: float
    ejection_failures: int
    ejection_s: float


class Group(NamedTuple):
    """A group of ranks that run in lock-step on one expert map.

    ``experts`` counts logical experts per layer, ``experts_per_rank`` the
    slots that a rank's memory has per layer, ``expert_bytes`` the weights of
    one expert in one layer, ``store_bytes_per_s`` the rate of the weight
    store and ``hold_steps`` the least steps between two map changes.
    """

    name: str
    model: str
    upstreams: tuple[str, ...]
    ranks: int
    experts: int
    layers: int
    experts_per_rank: int
    expert_bytes: int
    store_bytes_per_s: int
    hold_steps: int


class Workspace(NamedTuple):
    """One workspace with its limits; empty ``models`` allows all models."""

    name: str
    api_key: str
    priority: str
    rate_per_s: float
    burst: int
    max_concurrency: int
    weight: int
    models: tuple[str, ...]


class ServiceCall(NamedTuple):
    """Whether one call of a service may be repeated.

    ``path`` is the whole request path, below the service's prefix; a segment
    in braces (``/holds/{hold}/confirm``) matches any one segment.
    """

    method: str
    path: str
    repeatable: bool


class Service(NamedTuple):
    """A plain service that is reached under its own path prefix."""

    name: str
    path_prefix: str
    upstream: str
    calls: tuple[ServiceCall, ...]


class Fleet(NamedTuple):
    """Everything that one fleet file describes.

    ``stale_policy`` says what a process does with new work once its
    configuration lease has lapsed.
    """

    name: str
    stale_policy: StalePolicy
    weights: Weights
    routing: RoutingPolicy
    priorities: tuple[Priority, ...]
    upstreams: tuple[UpstreamPolicy, ...]
    groups: tuple[Group, ...]
    workspaces: tuple[Workspace, ...]
    services: tuple[Service, ...]
