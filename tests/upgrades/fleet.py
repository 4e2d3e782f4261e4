"""A fleet file with a model and a service for the agents of each build."""

from __future__ import annotations

API_KEY = 'upgrade-key'

#: Calls of the stand-in service that must not run twice, one for each build.
CALLS = ('holds', 'confirmations')

_HEAD = """
name = "upgrade"

[weights]
skew = 0.5
cost = 0.5

[[priorities]]
name = "normal"
weight = 1
queue_limit = 100

[[workspaces]]
name = "upgrade"
api_key = "upgrade-key"
priority = "normal"
rate_per_s = 1000.0
burst = 1000
max_concurrency = 100
weight = 1
"""

_LIMITS = """
max_concurrency = 8
slow_start_s = 1.0
ejection_failures = 5
ejection_s = 5.0
"""

_ENGINE = """
[[upstreams]]
name = "model-{name}"
kind = "engine"
model = "model-{name}"
fencing = "checked"
"""

_SERVICE = """
[[upstreams]]
name = "service-{name}"
kind = "service"
"""

_CALL = """
[[services]]
name = "service-{name}"
path_prefix = "/{call}"
upstream = "service-{name}"

[[services.calls]]
method = "POST"
path = "/{call}"
repeatable = false
"""


def fleet_of(names: tuple[str, ...]) -> str:
    """Return a file with a policy of each kind under each name."""
    upstreams = ''.join(
        f'{kind}{_LIMITS}'.format(name=name)
        for kind in (_ENGINE, _SERVICE)
        for name in names
    )
    calls = ''.join(
        _CALL.format(name=name, call=call)
        for name, call in zip(names, CALLS, strict=True)
    )
    return f'{_HEAD}{upstreams}{calls}'
