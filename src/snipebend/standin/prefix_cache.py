"""Prefix cache of the stand-in engine: LRU over chained block hashes."""

from __future__ import annotations

from collections import OrderedDict
from typing import Literal, NamedTuple

from xxhash import xxh64_hexdigest, xxh64_intdigest

BLOCK_CHARS = 64


class CacheChange(NamedTuple):
    """A prefix that was stored in the cache or evicted from it."""

    kind: Literal['stored', 'evicted']
    prefix: str


def hash_chain(prompt: str) -> tuple[str, ...]:
    """Hash each full block of 64 characters, seeded with the previous hash.

    Equal hashes at the same index mean equal prefixes. A partial last block
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
    """An LRU cache for a fixed number of prompt blocks."""

    def __init__(self, capacity: int) -> None:
        """Create an empty cache for ``capacity`` blocks."""
        self.capacity = capacity
        self._blocks: OrderedDict[str, None] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of blocks in use."""
        return len(self._blocks)

    @property
    def prefixes(self) -> tuple[str, ...]:
        """Return the cached hashes, least recently used first."""
        return tuple(self._blocks)

    def count_cached(self, chain: tuple[str, ...]) -> int:
        """Return how many leading blocks of the chain are cached."""
        for index, prefix in enumerate(chain):
            if prefix not in self._blocks:
                return index
        return len(chain)

    def store(self, chain: tuple[str, ...]) -> list[CacheChange]:
        """Store the chain and evict blocks beyond the capacity.

        The first block is marked as used last, so that the tail of a chain is
        evicted before its head.
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
