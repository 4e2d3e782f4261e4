"""What an entry decides of a request before its first call (pure)."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from snipebend.hosts.lookup import pick_service
from snipebend.relay import problems
from snipebend.relay.returning import when_out

if TYPE_CHECKING:
    from snipebend.hosts.lookup import HostIndex
    from snipebend.hosts.model import HostRoute
    from snipebend.relay.facts import CallerFacts
    from snipebend.relay.problems import Refusal


#: Seconds that a caller is taken to wait that doesn't tell.
USUAL_PATIENCE_S = 3.0


class Admitted(NamedTuple):
    """A request that may be passed on."""

    facts: CallerFacts
    route: HostRoute
    service: str
    #: Empty: the route takes requests without a key.
    workspace: str
    #: 0 is the most urgent.
    priority: int
    #: Monotonic seconds.
    began_at: float
    deadline: float


def admit(
    index: HostIndex | None,
    facts: CallerFacts,
    target: str,
    now: float,
    draw: float,
) -> Admitted | Refusal:
    """Admit a request or refuse it; ``draw`` is even over [0, 1)."""
    if index is None:
        patience_s = facts.patience_s or USUAL_PATIENCE_S
        return problems.no_document(when_out(patience_s, draw))
    route = index.find_route(facts.host, target)
    if route is None:
        return problems.no_route()
    workspace = index.find_workspace(facts.key) if facts.key else None
    if workspace is None and index.needs_keys and not route.anonymous:
        return problems.unknown_key()
    priority = route.priority
    if workspace is not None and workspace.priority is not None:
        priority = workspace.priority
    patience_s = route.timeout_s
    if facts.patience_s is not None:
        patience_s = min(patience_s, facts.patience_s)
    return Admitted(
        facts,
        route,
        pick_service(route, draw),
        workspace.name if workspace else '',
        priority,
        now,
        now + patience_s,
    )
