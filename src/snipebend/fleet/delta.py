"""The difference between two fleets as a message for distribution."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec
from xxhash import xxh64_intdigest

from snipebend.fleet.model import (
    ENTRY_SECTIONS,
    Fleet,
    Group,
    Priority,
    RoutingPolicy,
    Service,
    StalePolicy,
    UpstreamPolicy,
    Weights,
    Workspace,
)

_HEAD_FIELDS = ('name', 'stale_policy', 'weights', 'routing')


class EntryKey(NamedTuple):
    """Identifies an entry of a fleet."""

    section: str
    name: str


class SectionOrder(NamedTuple):
    """All names in a section, in file order."""

    section: str
    names: tuple[str, ...]


class FleetDelta(msgspec.Struct, frozen=True, tag=True):
    """Entries to replace, add, remove and reorder.

    ``None`` leaves a field of the head unchanged. A section's field holds
    complete entries: each replaces the entry of the same name in place or is
    appended to the section. ``orders`` lists a section only if these steps
    don't give the new order.
    """

    name: str | None = None
    stale_policy: StalePolicy | None = None
    weights: Weights | None = None
    routing: RoutingPolicy | None = None
    priorities: tuple[Priority, ...] = ()
    upstreams: tuple[UpstreamPolicy, ...] = ()
    groups: tuple[Group, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    services: tuple[Service, ...] = ()
    removed: tuple[EntryKey, ...] = ()
    orders: tuple[SectionOrder, ...] = ()


def checksum(fleet: Fleet) -> int:
    """Return the 64-bit xxHash of the fleet's encoded records.

    It detects a missed delta but doesn't protect against forgery. It covers
    the records rather than the TOML text, because each follower computes it
    at each change.
    """
    return xxh64_intdigest(msgspec.msgpack.encode(fleet))


def delta_between(old: Fleet, new: Fleet) -> FleetDelta:
    """Return the delta that turns the old fleet into the new one."""
    changes: dict[str, Any] = {
        field: getattr(new, field)
        for field in _HEAD_FIELDS
        if getattr(old, field) != getattr(new, field)
    }
    removed: list[EntryKey] = []
    orders: list[SectionOrder] = []
    for section in ENTRY_SECTIONS:
        before = _by_name(getattr(old, section))
        after = _by_name(getattr(new, section))
        changes[section] = _changed_entries(before, after)
        missing = [EntryKey(section, name) for name in before.keys() - after]
        removed.extend(sorted(missing))
        if _merged_order(before, after) != list(after):
            orders.append(SectionOrder(section, tuple(after)))
    return FleetDelta(**changes, removed=tuple(removed), orders=tuple(orders))


def apply_delta(fleet: Fleet, delta: FleetDelta) -> Fleet:
    """Return the fleet with a delta applied.

    Applied to a fleet other than its base, a delta gives a wrong fleet, which
    is detected by the checksum.
    """
    head: dict[str, Any] = {
        field: getattr(delta, field)
        for field in _HEAD_FIELDS
        if getattr(delta, field) is not None
    }
    entries: dict[str, Any] = {
        section: _apply_section(section, getattr(fleet, section), delta)
        for section in ENTRY_SECTIONS
    }
    return fleet._replace(**head, **entries)


def _by_name(entries: tuple[Any, ...]) -> dict[str, Any]:
    return {entry.name: entry for entry in entries}


def _changed_entries(
    before: dict[str, Any], after: dict[str, Any]
) -> tuple[Any, ...]:
    return tuple(
        entry for name, entry in after.items() if before.get(name) != entry
    )


def _merged_order(before: dict[str, Any], after: dict[str, Any]) -> list[str]:
    """Return the order after replacing in place and appending."""
    kept = [name for name in before if name in after]
    return kept + [name for name in after if name not in before]


def _apply_section(
    section: str, entries: tuple[Any, ...], delta: FleetDelta
) -> tuple[Any, ...]:
    merged = _by_name(entries) | _by_name(getattr(delta, section))
    for removed in delta.removed:
        if removed.section == section:
            merged.pop(removed.name, None)
    names = _ordered(section, list(merged), delta)
    return tuple(merged[name] for name in names)


def _ordered(section: str, names: list[str], delta: FleetDelta) -> list[str]:
    positions = {
        name: position
        for order in delta.orders
        if order.section == section
        for position, name in enumerate(order.names)
    }
    return sorted(names, key=lambda name: positions.get(name, len(positions)))
