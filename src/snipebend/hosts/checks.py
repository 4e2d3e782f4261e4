"""Checks across the entries of a host table."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from snipebend.hosts.model import HostRoute, HostTable


def problems(table: HostTable) -> tuple[str, ...]:
    """Return all that forbids the table, one sentence each; empty: none."""
    return (
        *_unknown_services(table),
        *_repeated_places(table),
        *_bad_routes(table),
        *_shared_keys(table),
    )


def _unknown_services(table: HostTable) -> Iterator[str]:
    known = {service.name for service in table.services}
    for route in table.routes:
        for split in route.splits:
            if split.service not in known:
                yield f'route {route.name}: unknown service {split.service!r}'


def _repeated_places(table: HostTable) -> Iterator[str]:
    places = Counter((route.host, route.prefix) for route in table.routes)
    for (host, prefix), times in places.items():
        if times > 1:
            yield f'{times} routes have host {host!r} and prefix {prefix!r}'


def _bad_routes(table: HostTable) -> Iterator[str]:
    for route in table.routes:
        yield from (f'route {route.name}: {fault}' for fault in _faults(route))


def _faults(route: HostRoute) -> Iterator[str]:
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
                # The key itself is a secret and stays out of messages.
                yield f'workspaces {owner} and {workspace.name} share a key'
