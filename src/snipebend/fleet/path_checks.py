"""Checks of the paths of plain services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.fleet.draft import Fault, repeated
from snipebend.fleet.paths import normalise_pattern, starts_with

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from snipebend.fleet.schema import ServiceTable

# The entry's own routes, which no service may take over.
RESERVED_PREFIXES = ('/v1', '/healthz', '/readyz', '/metrics')


def check_calls(index: int, service: ServiceTable) -> Iterator[Fault]:
    """Yield the calls listed twice or outside of their service."""
    prefix = normalise_pattern(service.path_prefix)
    patterns = []
    for position, call in enumerate(service.calls):
        key = f'services[{index}].calls[{position}].path'
        pattern = normalise_pattern(call.path)
        patterns.append((key, (call.method, pattern), 'duplicate call'))
        if not starts_with(pattern, prefix):
            yield Fault(key, f'not below {service.path_prefix!r}')
    yield from repeated(patterns)


def check_prefixes(services: Mapping[int, ServiceTable]) -> Iterator[Fault]:
    """Yield the prefixes that overlap with another or with an own route."""
    taken = _Prefixes()
    for reserved in RESERVED_PREFIXES:
        taken.add(reserved)
    for index, service in services.items():
        other = taken.overlapping(service.path_prefix)
        if other is not None:
            yield Fault(
                f'services[{index}].path_prefix', f'overlaps with {other!r}'
            )
        taken.add(service.path_prefix)


class _Prefixes:
    """Prefixes by their segments and by the paths above them."""

    def __init__(self) -> None:
        self._whole: dict[tuple[str, ...], str] = {}
        self._above: dict[tuple[str, ...], str] = {}

    def add(self, prefix: str) -> None:
        """Take a prefix; the first of overlapping ones stays."""
        segments = normalise_pattern(prefix)
        self._whole.setdefault(segments, prefix)
        for above in _paths_above(segments):
            self._above.setdefault(above, prefix)

    def overlapping(self, prefix: str) -> str | None:
        """Return a taken prefix that lies above, at or below this one."""
        segments = normalise_pattern(prefix)
        for path in (*_paths_above(segments), segments):
            taken = self._whole.get(path)
            if taken is not None:
                return taken
        return self._above.get(segments)


def _paths_above(segments: tuple[str, ...]) -> Iterator[tuple[str, ...]]:
    depth = len(segments)
    return (segments[:length] for length in range(1, depth))
