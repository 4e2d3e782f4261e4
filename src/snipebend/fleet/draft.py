"""What could be read of a fleet file, and the faults found in it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterable, Iterator, Mapping


class Fault(NamedTuple):
    """A problem whose file isn't named yet."""

    key: str
    message: str


class Draft(NamedTuple):
    """What could be read of a file, by section.

    ``names`` holds the name of each entry in its position, with ``None`` where
    there is none; ``tables`` only the entries without a fault of their own.
    """

    names: Mapping[str, tuple[str | None, ...]]
    tables: Mapping[str, Mapping[int, Any]]


def repeated(
    keyed: Iterable[tuple[str, Hashable, str]],
) -> Iterator[Fault]:
    """Yield a fault for each ``(key, identity, message)`` seen before."""
    seen = set()
    for key, identity, message in keyed:
        if identity in seen:
            yield Fault(key, message)
        seen.add(identity)
