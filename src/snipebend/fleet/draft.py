"""Intermediate results of fleet file validation: valid entries and faults."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterable, Iterator, Mapping


class Fault(NamedTuple):
    """A problem in a fleet file, without the file's name."""

    key: str
    message: str


class Draft(NamedTuple):
    """The decoded entries of a file, by section.

    ``names`` holds the name of each entry by position, or ``None`` if it has
    none. ``tables`` holds only the entries that are valid by themselves.
    """

    names: Mapping[str, tuple[str | None, ...]]
    tables: Mapping[str, Mapping[int, Any]]


def find_duplicates(
    keyed_items: Iterable[tuple[str, Hashable, str]],
) -> Iterator[Fault]:
    """Yield a fault for each item whose identity occurred before.

    An item is ``(key, identity, message)``.
    """
    seen = set()
    for key, identity, message in keyed_items:
        if identity in seen:
            yield Fault(key, message)
        seen.add(identity)
