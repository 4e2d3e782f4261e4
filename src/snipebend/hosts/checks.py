"""Validates references and constraints across the parts of a host table."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from snipebend.hosts.model import HostRoute, HostTable


def find_problems(table: HostTable) -> tuple[str, ...]:
    """Return all faults of the table, one sentence each; empty if valid."""
    return (
        *_unknown_services(table),
        *_duplicate_routes(table),
        *_invalid_routes(table),
        *_shared_keys(table),
    )


def _unknown_services(table: HostTable) -> Iterator[str]:
    known = {service.name for service in table.services}
    for route in table.routes:
        for split in route.splits:
            if split.service not in known:
                yield f'route {route.name}: unknown service {split.service!r}'


def _duplicate_routes(table: HostTable) -> Iterator[str]:
    locations = Counter((route.host, route.prefix) for route in table.routes)
    for (host, prefix), times in locations.items():
        if times > 1:
            yield f'{times} routes have host {host!r} and prefix {prefix!r}'


def _invalid_routes(table: HostTable) -> Iterator[str]:
    for route in table.routes:
        yield from (
            f'route {route.name}: {fault}' for fault in _route_faults(route)
        )


def _route_faults(route: HostRoute) -> Iterator[str]:
    weights = [split.weight for split in route.splits]
    if sum(weights) <= 0 or min(weights) < 0:
        yield 'the weights must not be negative and must not add up to 0'
    if route.timeout_s <= 0:
        yield 'the timeout must be more than 0'
    if not (route.prefix.startswith('/') and route.prefix.endswith('/')):
        yield 'the prefix must begin and end with a slash'


def _shared_keys(table: HostTable) -> Iterator[str]:
    owners: dict[str, str] = {}
    for workspace in table.workspaces:
        for key in set(workspace.keys):
            owner = owners.setdefault(key, workspace.name)
            if owner != workspace.name:
                # The key itself is a secret and must not appear in messages.
                yield f'workspaces {owner} and {workspace.name} share a key'
