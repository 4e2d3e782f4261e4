"""Admission of a request before its first upstream call.

Performs no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from snipebend.hosts.lookup import pick_service
from snipebend.relay import problems
from snipebend.relay.retry_after import outage_retry_after_s

if TYPE_CHECKING:
    from snipebend.hosts.lookup import HostIndex
    from snipebend.hosts.model import HostRoute
    from snipebend.relay.facts import CallerFacts
    from snipebend.relay.problems import Refusal


#: Timeout of a caller that sends none.
DEFAULT_TIMEOUT_S = 3.0


class Admitted(NamedTuple):
    """A request that may be forwarded to an upstream."""

    facts: CallerFacts
    route: HostRoute
    service: str
    #: Empty if the request has no known API key, which is possible on an
    #: anonymous route or if the table contains no workspaces.
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
    sample: float,
) -> Admitted | Refusal:
    """Admit or refuse a request; ``sample`` is uniform over [0, 1)."""
    if index is None:
        timeout_s = facts.timeout_s or DEFAULT_TIMEOUT_S
        return problems.no_document(outage_retry_after_s(timeout_s, sample))
    route = index.find_route(facts.host, target)
    if route is None:
        return problems.no_route()
    workspace = index.find_workspace(facts.key) if facts.key else None
    if workspace is None and index.requires_keys and not route.anonymous:
        return problems.unknown_key()
    priority = route.priority
    if workspace is not None and workspace.priority is not None:
        priority = workspace.priority
    timeout_s = route.timeout_s
    if facts.timeout_s is not None:
        timeout_s = min(timeout_s, facts.timeout_s)
    return Admitted(
        facts,
        route,
        pick_service(route, sample),
        workspace.name if workspace else '',
        priority,
        now,
        now + timeout_s,
    )
