"""Prefix hints must follow the engine's cache, or be marked as stale.

Cache events arrive late, in copies and with gaps, and an engine that restarts
begins with an empty cache. A gap must be reported until a resync repairs it,
and the index must not exceed its capacity.
"""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from snipebend.routing.prefix_index import (
    CacheEventView,
    PrefixIndex,
    PrefixMatch,
    hash_chain,
)
from snipebend.standin.prefix_cache import PrefixCache
from snipebend.standin.prefix_cache import hash_chain as engine_chain


def _number(prefix: str) -> int:
    return int(prefix, 16)


class PrefixIndexTest(TestCase):
    """The index follows an engine's cache and reports gaps in its events."""

    def test_hash_chain_equals_the_engines(self) -> None:
        prompt = 'ä' * 200 + 'tail' * 40
        engine_hashes = tuple(map(_number, engine_chain(prompt)))
        self.assertEqual(hash_chain(prompt), engine_hashes)

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(st.tuples(st.integers(0, 3), st.integers(1, 6))),
        st.sets(st.integers(1, 60)),
    )
    def test_gap_marks_stale_and_resync_repairs(
        self, prompts: list[tuple[int, int]], lost: set[int]
    ) -> None:
        cache = PrefixCache(8)
        index = PrefixIndex()
        chains = {
            hash_chain(chr(97 + letter) * 64 * blocks)
            for letter, blocks in prompts
        }
        seq = 0
        missed = False
        for letter, blocks in prompts:
            text = chr(97 + letter) * 64 * blocks
            for change in cache.store(engine_chain(text)):
                seq += 1
                event = CacheEventView(seq, change.kind, _number(change.prefix))
                if seq in lost:
                    missed = True
                    continue
                index.apply('u', 1, [event, event])
                self.assertEqual(index.stale, ('u',) if missed else ())
        if not missed:
            self._assert_equal(index, cache, chains)
        index.resync('u', 1, seq, map(_number, cache.prefixes))
        self.assertEqual(index.stale, ())
        self._assert_equal(index, cache, chains)

    def test_late_event_changes_nothing(self) -> None:
        index = PrefixIndex()
        index.apply('u', 1, [CacheEventView(1, 'stored', 1)])
        index.apply('u', 1, [CacheEventView(2, 'evicted', 1)])
        index.apply('u', 1, [CacheEventView(1, 'stored', 1)])
        self.assertEqual(index.find((1,)), [])
        self.assertEqual(index.stale, ())

    def test_new_incarnation_starts_cold(self) -> None:
        index = PrefixIndex()
        index.resync('u', 1, 9, (1, 2))
        index.apply('u', 2, [CacheEventView(1, 'stored', 7)])
        index.apply('u', 1, [CacheEventView(10, 'stored', 1)])
        self.assertEqual(index.find((1, 2)), [])
        self.assertEqual(index.find((7,)), [PrefixMatch('u', 1)])

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from('abcdefghij'),
                st.lists(st.integers(0, 30), max_size=12, unique=True),
            )
        )
    )
    def test_memory_is_bounded(
        self, stores: list[tuple[str, list[int]]]
    ) -> None:
        index = PrefixIndex(20)
        for upstream, chain in stores:
            index.record(upstream, tuple(chain))
            self.assertLessEqual(len(index), 20)

    def _assert_equal(
        self,
        index: PrefixIndex,
        cache: PrefixCache,
        chains: set[tuple[int, ...]],
    ) -> None:
        for chain in chains:
            found = index.find(chain)
            texts = tuple(f'{prefix:016x}' for prefix in chain)
            depth = cache.count_cached(texts)
            expected = [PrefixMatch('u', depth)] if depth else []
            self.assertEqual(found, expected)
