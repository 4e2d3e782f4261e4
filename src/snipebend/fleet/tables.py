"""Validate the tables of a fleet file against the schema, one by one."""

from __future__ import annotations

import re
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, NamedTuple, TypeVar

from pydantic import BaseModel, ValidationError

from snipebend.fleet.draft import Draft, Fault
from snipebend.fleet.schema import (
    GroupTable,
    HeadTable,
    PriorityTable,
    ServiceTable,
    UpstreamTable,
    WorkspaceTable,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pydantic_core import ErrorDetails

    from snipebend.fleet.schema import EntryTable

AnyTable = TypeVar('AnyTable', bound=BaseModel)

_SECTIONS: Mapping[str, type[EntryTable]] = MappingProxyType(
    {
        'priorities': PriorityTable,
        'upstreams': UpstreamTable,
        'groups': GroupTable,
        'workspaces': WorkspaceTable,
        'services': ServiceTable,
    }
)
_BARE_KEY = re.compile(r'^[A-Za-z0-9_-]+$')
_PLAIN_MESSAGES = MappingProxyType(
    {
        'extra_forbidden': 'unknown key',
        'missing': 'required key is missing',
        'string_pattern_mismatch': 'characters or form not allowed here',
    }
)


class TablesResult(NamedTuple):
    """The valid tables and the faults; an invalid ``head`` is ``None``."""

    head: HeadTable | None
    draft: Draft
    faults: tuple[Fault, ...]


def validate_tables(document: Mapping[str, Any]) -> TablesResult:
    """Validate each table and collect the faults of all."""
    faults: list[Fault] = []
    head_fields = {
        key: field for key, field in document.items() if key not in _SECTIONS
    }
    head = _validate(HeadTable, head_fields, (), faults)
    tables = {
        section: _read_section(section, document.get(section, []), faults)
        for section in _SECTIONS
    }
    names = {
        section: _entry_names(document.get(section)) for section in _SECTIONS
    }
    return TablesResult(head, Draft(names, tables), tuple(faults))


def _read_section(
    section: str, entries: object, faults: list[Fault]
) -> dict[int, EntryTable]:
    """Return the valid entries by their position in the file."""
    if not isinstance(entries, list):
        faults.append(Fault(section, 'must be an array of tables'))
        return {}
    tables = {}
    for index, entry in enumerate(entries):
        table = _validate(_SECTIONS[section], entry, (section, index), faults)
        if table is not None:
            tables[index] = table
    return tables


def _validate(
    table: type[AnyTable],
    raw: object,
    path: tuple[str | int, ...],
    faults: list[Fault],
) -> AnyTable | None:
    try:
        return table.model_validate(raw)
    except ValidationError as exc:
        details = exc.errors(include_url=False, include_input=False)
    faults.extend(_schema_fault(path, detail) for detail in details)
    return None


def _schema_fault(path: tuple[str | int, ...], detail: ErrorDetails) -> Fault:
    message = _PLAIN_MESSAGES.get(detail['type'], detail['msg'])
    return Fault(
        _render_key((*path, *detail['loc'])) or 'file',
        message.removeprefix('Value error, '),
    )


def _render_key(path: tuple[str | int, ...]) -> str:
    """Render ``('groups', 0, 'ranks')`` as ``groups[0].ranks``."""
    rendered = ''.join(map(_render_part, path))
    return rendered.removeprefix('.')


def _render_part(part: str | int) -> str:
    if isinstance(part, int):
        return f'[{part}]'
    return f'.{part}' if _BARE_KEY.match(part) else f'.{part!a}'


def _entry_names(entries: object) -> tuple[str | None, ...]:
    """Return the names of all entries, including invalid ones."""
    if not isinstance(entries, list):
        return ()
    return tuple(_entry_name(entry) for entry in entries)


def _entry_name(entry: object) -> str | None:
    name = entry.get('name') if isinstance(entry, dict) else None
    return name if isinstance(name, str) else None
