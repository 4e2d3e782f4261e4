"""Look-ups that each request needs, over indexes built once per table."""

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
        """Index routes by place, workspaces by key, services by name."""
        self.table = table
        self.services: dict[str, HostService] = {
            service.name: service for service in table.services
        }
        self._routes = {
            (route.host, route.prefix): route for route in table.routes
        }
        self._owners = {
            key: workspace
            for workspace in table.workspaces
            for key in workspace.keys
        }

    @property
    def needs_keys(self) -> bool:
        """Tell whether requests carry keys at all."""
        return bool(self.table.workspaces)

    def find_route(self, host: str, path: str) -> HostRoute | None:
        """Return the host's route with the longest prefix of the path."""
        prefix = path.partition('?')[0]
        while True:
            cut = prefix.rfind('/')
            if cut < 0:
                return None
            route = self._routes.get((host, prefix[: cut + 1]))
            if route is not None:
                return route
            prefix = prefix[:cut]

    def find_workspace(self, key: str) -> HostWorkspace | None:
        """Return the workspace that holds a key."""
        return self._owners.get(key)


def pick_service(route: HostRoute, sample: float) -> str:
    """Return the service for a number drawn evenly from [0, 1)."""
    left = sample * sum(split.weight for split in route.splits)
    for split in route.splits:
        left -= split.weight
        if left < 0:
            return split.service
    return route.splits[-1].service
