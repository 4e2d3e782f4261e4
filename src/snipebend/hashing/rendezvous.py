"""Rendezvous hashing: processes make the same choice without communication.

See Thaler and Ravishankar, 1998: the weight of each name is its hash together
with the key, and the name with the highest weight is chosen. Adding or removing
a name reassigns only the keys of that name.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

if TYPE_CHECKING:
    from collections.abc import Iterable


def weigh(name: str, key: str) -> int:
    """Return the weight of a name for a key."""
    return xxh64_intdigest(f'{key}\n{name}'.encode())


def select_heaviest(names: Iterable[str], key: str, count: int) -> list[str]:
    """Return the names with the highest weights for a key, highest first."""
    ranked = sorted(((weigh(name, key), name) for name in names), reverse=True)
    return [name for _, name in ranked[:count]]
