"""Human-readable differences between two fleets."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple

from snipebend.fleet.delta import (
    FleetDelta,
    apply_delta,
    checksum,
    delta_between,
)
from snipebend.fleet.model import ENTRY_SECTIONS

if TYPE_CHECKING:
    from collections.abc import Iterator

    from snipebend.fleet.model import Fleet

# Also exports the deltas for distribution from their separate module, so that
# callers import both forms of a difference from here.
__all__ = (  # noqa: WPS410
    'Added',
    'Change',
    'Changed',
    'FleetDelta',
    'Removed',
    'apply_delta',
    'checksum',
    'delta_between',
    'diff_fleets',
)

FLEET_SECTION = 'fleet'
ORDER_FIELD = 'order'

_TABLE_SECTIONS = ('weights', 'routing')
_PLAIN_FIELDS = ('name', 'stale_policy')


@dataclass(frozen=True)
class Added:
    """An entry that exists only in the new fleet."""

    section: str
    name: str


@dataclass(frozen=True)
class Removed:
    """An entry that exists only in the old fleet."""

    section: str
    name: str


@dataclass(frozen=True)
class Changed:
    """An entry whose ``fields`` have changed.

    The values aren't included, because API keys are among them. ``name`` is
    empty for a table without a name, and for a section whose entries were
    reordered (``fields`` is then ``('order',)``).
    """

    section: str
    name: str
    fields: tuple[str, ...]


Change = Added | Removed | Changed


def diff_fleets(old: Fleet | None, new: Fleet) -> tuple[Change, ...]:
    """Return the changes from the old fleet to the new one."""
    if old is None:
        return (Added(FLEET_SECTION, new.name), *_all_added(new))
    return (*_diff_head(old, new), *_diff_sections(old, new))


def _all_added(fleet: Fleet) -> Iterator[Change]:
    for section in ENTRY_SECTIONS:
        for entry in getattr(fleet, section):
            yield Added(section, entry.name)


def _diff_head(old: Fleet, new: Fleet) -> Iterator[Change]:
    plain = tuple(
        field
        for field in _PLAIN_FIELDS
        if getattr(old, field) != getattr(new, field)
    )
    if plain:
        yield Changed(FLEET_SECTION, '', plain)
    for section in _TABLE_SECTIONS:
        fields = _changed_fields(getattr(old, section), getattr(new, section))
        if fields:
            yield Changed(section, '', fields)


def _diff_sections(old: Fleet, new: Fleet) -> Iterator[Change]:
    for section in ENTRY_SECTIONS:
        yield from _diff_section(
            section,
            {entry.name: entry for entry in getattr(old, section)},
            {entry.name: entry for entry in getattr(new, section)},
        )


def _diff_section(
    section: str, old: dict[str, Any], new: dict[str, Any]
) -> Iterator[Change]:
    yield from (Removed(section, name) for name in old if name not in new)
    for name, entry in new.items():
        if name not in old:
            yield Added(section, name)
        elif old[name] != entry:
            yield Changed(section, name, _changed_fields(old[name], entry))
    kept_before = [kept for kept in old if kept in new]
    kept_after = [kept for kept in new if kept in old]
    if kept_before != kept_after:
        yield Changed(section, '', (ORDER_FIELD,))


def _changed_fields(old: NamedTuple, new: NamedTuple) -> tuple[str, ...]:
    before = old._asdict()
    return tuple(
        field
        for field, after in new._asdict().items()
        if before[field] != after
    )
