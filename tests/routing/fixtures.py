"""A fleet and upstream views for the routing tests."""

from __future__ import annotations

from snipebend.fleet.lookup import FleetIndex
from snipebend.fleet.parsing import parse_fleet
from snipebend.routing.messages import ModelTarget, RoutingRequest
from snipebend.routing.views import LoadView, UpstreamView

_FLEET = """
name = "test"
stale_policy = "serve"
[weights]
skew = 0.5
cost = 0.5
[routing]
request_timeout_s = 60.0
[[priorities]]
name = "high"
weight = 4
queue_limit = 64
[[priorities]]
name = "low"
weight = 1
queue_limit = 64
[[upstreams]]
name = "engine"
kind = "engine"
model = "model"
fencing = "checked"
max_concurrency = 4
slow_start_s = 5.0
ejection_failures = 3
ejection_s = 5.0
[[workspaces]]
name = "a"
api_key = "key-of-workspace-a"
priority = "high"
rate_per_s = 10.0
burst = 100
max_concurrency = 100
weight = 1
models = []
[[workspaces]]
name = "b"
api_key = "key-of-workspace-b"
priority = "low"
rate_per_s = 1000.0
burst = 1000
max_concurrency = 1000
weight = 3
models = []
"""

#: A time at which slow start has ended for every upstream.
NOW = 1000


def fleet_index() -> FleetIndex:
    """Return a fleet of one model with two priorities and workspaces."""
    return FleetIndex(parse_fleet(_FLEET, 'test').unwrap())


def upstream(
    name: str,
    load: int = 0,
    *,
    data_center: str = 'here',
    incarnation: int = 1,
    taken_at: float = 1000,
) -> UpstreamView:
    """Return a view of an engine with a load report."""
    report = LoadView(load, 0, 0, taken_at)
    return UpstreamView(name, 'engine', data_center, incarnation, load=report)


def request(
    workspace: str = 'b',
    *,
    fingerprint: str = '',
    deadline_at: float = 1060,
    chain: tuple[int, ...] = (),
) -> RoutingRequest:
    """Return a request of a workspace for the model."""
    priority = 'high' if workspace == 'a' else 'low'
    return RoutingRequest(
        workspace,
        priority,
        ModelTarget('model'),
        deadline_at,
        fingerprint,
        chain,
    )
