"""Rendezvous hashing: processes agree on a choice without talking.

Thaler and Ravishankar, 1998: each name is weighed by a hash with the key, and
the heaviest wins; a name that comes or goes moves only its own keys.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

if TYPE_CHECKING:
    from collections.abc import Iterable


def weigh(name: str, key: str) -> int:
    """Return the weight of a name for a key."""
    return xxh64_intdigest(f'{key}\n{name}'.encode())


def heaviest(names: Iterable[str], key: str, count: int) -> list[str]:
    """Return the names of the largest weights for a key, heaviest first."""
    ranked = sorted(((weigh(name, key), name) for name in names), reverse=True)
    return [name for _, name in ranked[:count]]
