"""Render a fleet as canonical TOML: equal fleets give equal text."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

    from snipebend.fleet.model import Fleet


def render_fleet(fleet: Fleet) -> str:
    """Return TOML that parses to an equal fleet.

    All keys are written, including defaults, in the order of the records'
    fields; the entries of a section keep their order.
    """
    lines = '\n'.join(_render_table('', fleet))
    return f'{lines}\n'


def _render_table(path: str, record: NamedTuple) -> Iterator[str]:
    """Yield plain keys before tables: TOML adds later keys to the sub-table."""
    fields = record._asdict()
    for key, field in fields.items():
        if not _is_nested(field):
            yield f'{key} = {_render_value(field)}'
    for key, field in fields.items():
        if _is_nested(field):
            yield from _render_nested(f'{path}.{key}'.lstrip('.'), field)


def _render_nested(path: str, field: Any) -> Iterator[str]:
    if _is_record(field):
        yield f'\n[{path}]'
        yield from _render_table(path, field)
        return
    for entry in field:
        yield f'\n[[{path}]]'
        yield from _render_table(path, entry)


def _is_record(field: object) -> bool:
    return isinstance(field, tuple) and hasattr(field, '_asdict')


def _is_nested(field: object) -> bool:
    if _is_record(field):
        return True
    return isinstance(field, tuple) and any(map(_is_record, field))


def _render_value(plain: Any) -> str:
    """Render a string, number, boolean or array of strings.

    The schema allows only printable ASCII strings, for which JSON's escapes
    are TOML's; ``repr`` of a finite float is TOML that parses to an equal one.
    """
    match plain:
        case bool():
            return str(plain).lower()
        case str():
            return json.dumps(plain)
        case tuple():
            return f'[{", ".join(map(_render_value, plain))}]'
        case float():
            # -0.0 equals 0.0, so both must give the same text.
            return repr(plain or float())
        case _:
            return str(plain)
