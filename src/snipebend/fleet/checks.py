"""Checks across entries of a fleet file: names, references, overlaps."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.fleet.draft import Fault, find_duplicates
from snipebend.fleet.path_checks import check_calls, check_prefixes

if TYPE_CHECKING:
    from collections.abc import Iterator

    from snipebend.fleet.draft import Draft
    from snipebend.fleet.schema import (
        GroupTable,
        UpstreamTable,
        WorkspaceTable,
    )


def check_references(draft: Draft) -> Iterator[Fault]:
    """Yield every fault that spans several entries.

    A reference to an invalid entry isn't reported, because the reference
    itself is correct.
    """
    yield from _check_names(draft)
    yield from _check_groups(draft)
    yield from _check_workspaces(draft)
    yield from _check_services(draft)


def _check_names(draft: Draft) -> Iterator[Fault]:
    for section, names in draft.names.items():
        keyed = (
            (f'{section}[{index}].name', name, f'duplicate name {name!r}')
            for index, name in enumerate(names)
            if name is not None
        )
        yield from find_duplicates(keyed)


def _upstreams(draft: Draft) -> dict[str, UpstreamTable]:
    return {table.name: table for table in draft.tables['upstreams'].values()}


def _check_groups(draft: Draft) -> Iterator[Fault]:
    upstreams = _upstreams(draft)
    members = []
    for index, group in draft.tables['groups'].items():
        for position, name in enumerate(group.upstreams):
            key = f'groups[{index}].upstreams[{position}]'
            members.append((key, name, f'upstream {name!r} is in use already'))
            upstream = upstreams.get(name)
            if upstream is not None:
                yield from _check_member(key, group, upstream)
            elif name not in draft.names['upstreams']:
                yield Fault(key, f'unknown upstream {name!r}')
    yield from find_duplicates(members)


def _check_member(
    key: str, group: GroupTable, upstream: UpstreamTable
) -> Iterator[Fault]:
    if upstream.kind != 'engine':
        yield Fault(key, f'upstream {upstream.name!r} is not an engine')
    elif upstream.model != group.model:
        yield Fault(
            key,
            f'upstream {upstream.name!r} serves {upstream.model!r}, '
            f'not {group.model!r}',
        )


def _check_workspaces(draft: Draft) -> Iterator[Fault]:
    workspaces = draft.tables['workspaces']
    models = {table.model for table in _upstreams(draft).values()}
    has_invalid_upstream = len(draft.tables['upstreams']) < len(
        draft.names['upstreams']
    )
    for index, workspace in workspaces.items():
        if workspace.priority not in draft.names['priorities']:
            yield Fault(
                f'workspaces[{index}].priority',
                f'unknown priority {workspace.priority!r}',
            )
        if not has_invalid_upstream:
            yield from _check_models(index, workspace, models)
        yield from _check_repeated_models(index, workspace)
    # The message must not contain the API key, which is a secret.
    yield from find_duplicates(
        (f'workspaces[{position}].api_key', table.api_key, 'duplicate API key')
        for position, table in workspaces.items()
    )


def _check_models(
    index: int, workspace: WorkspaceTable, models: set[str]
) -> Iterator[Fault]:
    for position, model in enumerate(workspace.models):
        if model not in models:
            key = f'workspaces[{index}].models[{position}]'
            yield Fault(key, f'unknown model {model!r}')


def _check_repeated_models(
    index: int, workspace: WorkspaceTable
) -> Iterator[Fault]:
    return find_duplicates(
        (
            f'workspaces[{index}].models[{position}]',
            model,
            f'duplicate model {model!r}',
        )
        for position, model in enumerate(workspace.models)
    )


def _check_services(draft: Draft) -> Iterator[Fault]:
    services = draft.tables['services']
    upstreams = _upstreams(draft)
    for index, service in services.items():
        key = f'services[{index}].upstream'
        upstream = upstreams.get(service.upstream)
        if upstream is None:
            if service.upstream not in draft.names['upstreams']:
                yield Fault(key, f'unknown upstream {service.upstream!r}')
        elif upstream.kind != 'service':
            yield Fault(key, f'upstream {upstream.name!r} is not a service')
        yield from check_calls(index, service)
    yield from check_prefixes(services)
