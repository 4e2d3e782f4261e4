"""The records of a fleet file: immutable and compared by value."""

from __future__ import annotations

from typing import Literal, NamedTuple

StalePolicy = Literal['refuse', 'serve']
UpstreamKind = Literal['engine', 'service']
Fencing = Literal['checked', 'ignored']

# The sections that contain named entries, in file order.
ENTRY_SECTIONS = (
    'priorities',
    'upstreams',
    'groups',
    'workspaces',
    'services',
)


class Weights(NamedTuple):
    """Weights of the sum that rebalancing minimises.

    It is ``skew * step skew + cost * move cost``.
    """

    skew: float
    cost: float


class RoutingPolicy(NamedTuple):
    """Limits for the handling of a request.

    ``retry_ratio`` is the share of retries among requests that the retry
    budget allows. ``crash_limit`` is the number of upstream crashes after
    which a request is quarantined for ``quarantine_s`` seconds.
    ``answer_bytes`` limits the size of a stored response. ``config_lease_s``
    is the time for which a process uses its configuration without a
    confirmation that it is still active.
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
    """A priority class; classes are listed from highest to lowest."""

    name: str
    weight: int
    queue_limit: int


class UpstreamPolicy(NamedTuple):
    """Policy for the upstreams that announce themselves under a name.

    ``model`` is empty for plain services. ``fencing`` states whether the
    upstream itself rejects orders with an outdated fence.
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
    """A group of ranks that run in lock-step with one expert map.

    ``experts`` is the number of logical experts per layer,
    ``experts_per_rank`` the number of expert slots per layer in a rank's
    memory, ``expert_bytes`` the weight size of one expert in one layer,
    ``store_bytes_per_s`` the throughput of the weight store and
    ``hold_steps`` the minimum number of steps between two map changes.
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
    """A workspace with its limits; empty ``models`` allows all models."""

    name: str
    api_key: str
    priority: str
    rate_per_s: float
    burst: int
    max_concurrency: int
    weight: int
    models: tuple[str, ...]


class ServiceCall(NamedTuple):
    """States whether a call of a service may be repeated.

    ``path`` is the complete request path, including the service's prefix; a
    segment in braces (``/holds/{hold}/confirm``) matches any single segment.
    """

    method: str
    path: str
    repeatable: bool


class Service(NamedTuple):
    """A plain service that serves requests below a path prefix."""

    name: str
    path_prefix: str
    upstream: str
    calls: tuple[ServiceCall, ...]


class Fleet(NamedTuple):
    """The content of a fleet file.

    ``stale_policy`` states whether a process accepts new work after its
    configuration lease has expired.
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
