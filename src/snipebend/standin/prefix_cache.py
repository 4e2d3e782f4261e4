"""The prefix cache of the stand-in engine: chained hashes, least recent out."""

from __future__ import annotations

from collections import OrderedDict
from typing import Literal, NamedTuple

from xxhash import xxh64_hexdigest, xxh64_intdigest

BLOCK_CHARS = 64


class CacheChange(NamedTuple):
    """One prefix that entered or left the cache."""

    kind: Literal['stored', 'evicted']
    prefix: str


def hash_chain(prompt: str) -> tuple[str, ...]:
    """Hash each full block of 64 characters, seeded with the block before.

    Equal entries at equal places mean equal prefixes. The last, partial block
    has no hash. Each hash is xxh64 in 16 hexadecimal digits.
    """
    chain = []
    seed = 0
    for end in range(BLOCK_CHARS, len(prompt) + 1, BLOCK_CHARS):
        block = prompt[end - BLOCK_CHARS : end].encode()
        chain.append(xxh64_hexdigest(block, seed=seed))
        seed = xxh64_intdigest(block, seed=seed)
    return tuple(chain)


class PrefixCache:
    """Prompt blocks in memory of a fixed number of blocks."""

    def __init__(self, capacity: int) -> None:
        """Start empty with room for ``capacity`` blocks."""
        self.capacity = capacity
        self._blocks: OrderedDict[str, None] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of blocks in use."""
        return len(self._blocks)

    @property
    def prefixes(self) -> tuple[str, ...]:
        """Return the hashes in the cache, least recently used first."""
        return tuple(self._blocks)

    def count_cached(self, chain: tuple[str, ...]) -> int:
        """Return how many leading blocks of the chain are in the cache."""
        for index, prefix in enumerate(chain):
            if prefix not in self._blocks:
                return index
        return len(chain)

    def store(self, chain: tuple[str, ...]) -> list[CacheChange]:
        """Put the chain in and evict what no longer fits.

        The chain's first block is touched last, so that a chain loses its
        tail before its head.
        """
        changes = [
            CacheChange('stored', prefix)
            for prefix in chain
            if prefix not in self._blocks
        ]
        for prefix in reversed(chain):
            self._blocks[prefix] = None
            self._blocks.move_to_end(prefix)
        while len(self._blocks) > self.capacity:
            evicted, _ = self._blocks.popitem(last=False)
            changes.append(CacheChange('evicted', evicted))
        return changes
