"""Look-ups for each request, over indexes built once per table."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from snipebend.hosts.model import (
        HostRoute,
        HostService,
        HostTable,
        HostWorkspace,
    )


class HostIndex:
    """A host table with its indexes."""

    def __init__(self, table: HostTable) -> None:
        """Index routes by location, workspaces by key, services by name."""
        self.table = table
        self.services: dict[str, HostService] = {
            service.name: service for service in table.services
        }
        self._routes = {
            (route.host, route.prefix): route for route in table.routes
        }
        self._workspace_by_key = {
            key: workspace
            for workspace in table.workspaces
            for key in workspace.keys
        }

    @property
    def requires_keys(self) -> bool:
        """Return whether requests to routes that are not anonymous need a key.

        They do if the table contains a workspace.
        """
        return bool(self.table.workspaces)

    def find_route(self, host: str, path: str) -> HostRoute | None:
        """Return the host's route with the longest prefix of the path."""
        prefix = path.partition('?')[0]
        while True:
            last_slash = prefix.rfind('/')
            if last_slash < 0:
                return None
            route = self._routes.get((host, prefix[: last_slash + 1]))
            if route is not None:
                return route
            prefix = prefix[:last_slash]

    def find_workspace(self, key: str) -> HostWorkspace | None:
        """Return the workspace that an API key belongs to."""
        return self._workspace_by_key.get(key)


def pick_service(route: HostRoute, sample: float) -> str:
    """Return a service by weight; ``sample`` is uniform over [0, 1)."""
    remaining = sample * sum(split.weight for split in route.splits)
    for split in route.splits:
        remaining -= split.weight
        if remaining < 0:
            return split.service
    return route.splits[-1].service
