"""Validation of the paths of plain services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.fleet.draft import Fault, find_duplicates
from snipebend.fleet.paths import normalise_pattern, starts_with

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from snipebend.fleet.schema import ServiceTable

# Routes that the entry serves itself; no service may use them.
RESERVED_PREFIXES = ('/v1', '/healthz', '/readyz', '/metrics')


def check_calls(index: int, service: ServiceTable) -> Iterator[Fault]:
    """Yield the calls that are duplicate or outside their service's prefix."""
    prefix = normalise_pattern(service.path_prefix)
    patterns = []
    for position, call in enumerate(service.calls):
        key = f'services[{index}].calls[{position}].path'
        pattern = normalise_pattern(call.path)
        patterns.append((key, (call.method, pattern), 'duplicate call'))
        if not starts_with(pattern, prefix):
            yield Fault(key, f'not below {service.path_prefix!r}')
    yield from find_duplicates(patterns)


def check_prefixes(services: Mapping[int, ServiceTable]) -> Iterator[Fault]:
    """Yield the prefixes that overlap with another or a reserved one."""
    prefixes = _Prefixes()
    for reserved in RESERVED_PREFIXES:
        prefixes.add(reserved)
    for index, service in services.items():
        other = prefixes.overlapping(service.path_prefix)
        if other is not None:
            yield Fault(
                f'services[{index}].path_prefix', f'overlaps with {other!r}'
            )
        prefixes.add(service.path_prefix)


class _Prefixes:
    """Prefixes, indexed by their segments and by their parent paths."""

    def __init__(self) -> None:
        self._by_segments: dict[tuple[str, ...], str] = {}
        self._by_parent: dict[tuple[str, ...], str] = {}

    def add(self, prefix: str) -> None:
        """Add a prefix; of overlapping ones, the first is kept."""
        segments = normalise_pattern(prefix)
        self._by_segments.setdefault(segments, prefix)
        for parent in _parent_paths(segments):
            self._by_parent.setdefault(parent, prefix)

    def overlapping(self, prefix: str) -> str | None:
        """Return an added prefix that equals, contains or is in this one."""
        segments = normalise_pattern(prefix)
        for path in (*_parent_paths(segments), segments):
            found = self._by_segments.get(path)
            if found is not None:
                return found
        return self._by_parent.get(segments)


def _parent_paths(segments: tuple[str, ...]) -> Iterator[tuple[str, ...]]:
    depth = len(segments)
    return (segments[:length] for length in range(1, depth))
