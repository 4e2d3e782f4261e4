"""Validation of a settings file that reports all problems with their keys."""

from __future__ import annotations

from typing import (
    TYPE_CHECKING,
    Annotated,
    Any,
    NamedTuple,
    get_args,
    get_origin,
)

from msgspec import NODEFAULT, ValidationError, convert
from msgspec.structs import fields

from snipebend.settings.base import Section

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping


class SettingsProblem(NamedTuple):
    """One problem in a settings file."""

    source: str
    key: str
    message: str

    def __str__(self) -> str:
        """Render as ``file: key: message``."""
        return f'{self.source}: {self.key}: {self.message}'


def check_table(
    table: Mapping[str, Any], model: type[Section], source: str, key: str = ''
) -> Iterator[SettingsProblem]:
    """Yield the problems in a table, key by key."""
    known = {field.name: field for field in fields(model)}
    for name in table.keys() - known.keys():
        yield SettingsProblem(source, f'{key}{name}', 'unknown key')
    for name, field in known.items():
        raw = table.get(name, NODEFAULT)
        if raw is not NODEFAULT:
            yield from _check_field(raw, field.type, source, f'{key}{name}')
        elif field.required:
            yield SettingsProblem(
                source, f'{key}{name}', 'required key is missing'
            )


def _check_field(
    raw: Any, kind: Any, source: str, key: str
) -> Iterator[SettingsProblem]:
    section = _section_type(kind)
    if section is not None and isinstance(raw, dict):
        yield from check_table(raw, section, source, f'{key}.')
        return
    if isinstance(raw, list) and raw:
        item_kind = _item_type(kind)
        if item_kind is not None:
            for index, item in enumerate(raw):
                yield from _check_field(
                    item, item_kind, source, f'{key}.{index}'
                )
            return
    try:
        convert(raw, kind)
    except ValidationError as exc:
        yield SettingsProblem(source, key, str(exc))


def _section_type(kind: Any) -> type[Section] | None:
    """Return the section class of a type, also if it is optional."""
    for candidate in (kind, *get_args(kind)):
        if isinstance(candidate, type) and issubclass(candidate, Section):
            return candidate if get_origin(kind) is not list else None
    return None


def _item_type(kind: Any) -> Any:
    """Return the item type of a list type; ``None`` for other types."""
    if get_origin(kind) is Annotated:
        kind = get_args(kind)[0]
    return get_args(kind)[0] if get_origin(kind) is list else None
