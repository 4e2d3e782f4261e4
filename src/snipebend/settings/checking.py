"""Finding all that is wrong in a settings file, each with its key."""

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
    """One thing wrong in a settings file."""

    source: str
    key: str
    message: str

    def __str__(self) -> str:
        """Render as ``file: key: message``."""
        return f'{self.source}: {self.key}: {self.message}'


def check_table(
    table: Mapping[str, Any], model: type[Section], source: str, key: str = ''
) -> Iterator[SettingsProblem]:
    """Yield what is wrong in a table, key by key."""
    known = {field.name: field for field in fields(model)}
    for name in table.keys() - known.keys():
        yield SettingsProblem(source, f'{key}{name}', 'is not known')
    for name, field in known.items():
        found = table.get(name, NODEFAULT)
        if found is not NODEFAULT:
            yield from _check(found, field.type, source, f'{key}{name}')
        elif field.required:
            yield SettingsProblem(source, f'{key}{name}', 'is missing')


def _check(
    found: Any, kind: Any, source: str, key: str
) -> Iterator[SettingsProblem]:
    section = _section_of(kind)
    if section is not None and isinstance(found, dict):
        yield from check_table(found, section, source, f'{key}.')
        return
    if isinstance(found, list) and found:
        item_kind = _item_of(kind)
        if item_kind is not None:
            for at, item in enumerate(found):
                yield from _check(item, item_kind, source, f'{key}.{at}')
            return
    try:
        convert(found, kind)
    except ValidationError as exc:
        yield SettingsProblem(source, key, str(exc))


def _section_of(kind: Any) -> type[Section] | None:
    """Return the section that a type is, or may be."""
    for one in (kind, *get_args(kind)):
        if isinstance(one, type) and issubclass(one, Section):
            return one if get_origin(kind) is not list else None
    return None


def _item_of(kind: Any) -> Any:
    """Return the type of a list's items; none: it isn't a list's."""
    if get_origin(kind) is Annotated:
        kind = get_args(kind)[0]
    return get_args(kind)[0] if get_origin(kind) is list else None
