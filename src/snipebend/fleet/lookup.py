"""Look-ups for each request, in indexes that are built once per fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from snipebend.fleet.paths import is_parameter, normalise_pattern, split_path

if TYPE_CHECKING:
    from snipebend.fleet.model import (
        Fleet,
        Priority,
        Service,
        ServiceCall,
        UpstreamPolicy,
        Workspace,
    )

# Idempotent methods according to RFC 9110, section 9.2.2.
IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'))


class _Rule(NamedTuple):
    pattern: tuple[str, ...]
    call: ServiceCall

    def matches(self, segments: tuple[str, ...]) -> bool:
        """Return whether each segment is equal or matches a parameter."""
        return len(self.pattern) == len(segments) and all(
            is_parameter(part) or part == segment
            for part, segment in zip(self.pattern, segments, strict=True)
        )


class FleetIndex:
    """Indexes of one fleet; look-up times don't depend on the fleet's size."""

    def __init__(self, fleet: Fleet) -> None:
        """Build the indexes."""
        self.fleet = fleet
        self._workspaces = {
            workspace.api_key: workspace for workspace in fleet.workspaces
        }
        self._priorities = {
            priority.name: priority for priority in fleet.priorities
        }
        self._services = {
            normalise_pattern(service.path_prefix): service
            for service in fleet.services
        }
        self._prefix_lengths = sorted({len(key) for key in self._services})
        self._rules = {
            service.name: _rules(service) for service in fleet.services
        }
        self._engines = _engines_by_model(fleet)

    def workspace_for_key(self, api_key: str) -> Workspace | None:
        """Return the workspace with an API key, if any."""
        return self._workspaces.get(api_key)

    def priority_of(self, workspace: Workspace) -> Priority:
        """Return the priority of a workspace of this fleet."""
        return self._priorities[workspace.priority]

    def upstreams_for_model(self, model: str) -> tuple[UpstreamPolicy, ...]:
        """Return the engines' policies for a model; empty if it is unknown."""
        return self._engines.get(model, ())

    def service_for_path(self, path: str) -> Service | None:
        """Return the service whose prefix contains the path, if any."""
        segments = split_path(path)
        if segments is None:
            return None
        for length in self._prefix_lengths:
            service = self._services.get(segments[:length])
            if service is not None:
                return service
        return None

    def is_repeatable(self, service: Service, method: str, path: str) -> bool:
        """Return whether a call may run more than once.

        Among the matching rules, the one whose literal segments come first
        applies. Calls without a rule are repeatable if their method is
        idempotent; ambiguous paths are never repeatable.
        """
        segments = split_path(path)
        if segments is None:
            return False
        upper_method = method.upper()
        for rule in self._rules[service.name]:
            if rule.call.method == upper_method and rule.matches(segments):
                return rule.call.repeatable
        return upper_method in IDEMPOTENT_METHODS


def _rules(service: Service) -> tuple[_Rule, ...]:
    """Return the rules, sorted from the most to the least specific."""
    rules = [
        _Rule(normalise_pattern(call.path), call) for call in service.calls
    ]
    return tuple(
        sorted(rules, key=lambda rule: tuple(map(is_parameter, rule.pattern)))
    )


def _engines_by_model(fleet: Fleet) -> dict[str, tuple[UpstreamPolicy, ...]]:
    engines: dict[str, tuple[UpstreamPolicy, ...]] = {}
    for upstream in fleet.upstreams:
        if upstream.kind == 'engine':
            others = engines.get(upstream.model, ())
            engines[upstream.model] = (*others, upstream)
    return engines
