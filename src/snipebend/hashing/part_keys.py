"""Keys of prompt parts, beside the fingerprints of whole requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Begins the keys of prompt parts; fingerprints are hexadecimal.
_PREFIX = 'part:'


def make_part_keys(parts: Iterable[str]) -> tuple[str, ...]:
    """Return the keys of prompt parts."""
    return tuple(f'{_PREFIX}{part}' for part in parts)


def is_part_key(key: str) -> bool:
    """Return whether a key is that of a prompt part."""
    return key.startswith(_PREFIX)
