"""Guards against a stand-in engine that schedules or caches wrongly.

Other tests rely on its behavior: a stream that is resumed must continue with
the same tokens, a cancelled request must free its slot, and the reported
changes of its cache must lead to the contents of the cache.
"""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from snipebend.standin.batcher import Batcher, Submission, Token, render_token
from snipebend.standin.prefix_cache import PrefixCache, hash_chain

BLOCK = 'x' * 64


def make_batcher(batch_size: int = 2, capacity: int = 8) -> Batcher:
    return Batcher(
        PrefixCache(capacity), batch_size=batch_size, prefill_s_per_block=1
    )


def drain(batcher: Batcher) -> list[Token]:
    tokens: list[Token] = []
    now = 0
    while not batcher.is_idle:
        tokens.extend(batcher.step(now).tokens)
        now += 1
    return tokens


class BatcherTest(unittest.TestCase):
    """Admission, prefill, cancellation and resumption of sequences."""

    def test_admits_by_priority_then_arrival(self) -> None:
        batcher = make_batcher(batch_size=1)
        for request_id, priority in (('a', 0), ('b', 5), ('c', 5), ('d', 9)):
            batcher.submit(Submission(request_id, '', 1, priority))
        admitted = [
            sequence.submission.request_id
            for now in range(4)
            for sequence in batcher.step(now).admitted
        ]
        self.assertEqual(admitted, ['d', 'b', 'c', 'a'])

    def test_running_sequences_share_each_step(self) -> None:
        batcher = make_batcher(batch_size=2)
        first, second, third = (
            batcher.submit(Submission(name, '', 2)).ticket for name in 'abc'
        )
        tickets = [token.ticket for token in drain(batcher)]
        self.assertEqual(tickets, [first, second, first, second, third, third])

    def test_prefill_costs_uncached_blocks_only(self) -> None:
        batcher = make_batcher()
        batcher.submit(Submission('cold', BLOCK * 3, 1))
        ready = [now for now in range(5) if batcher.step(now).tokens]
        self.assertEqual(ready, [3])
        warm = batcher.submit(Submission('warm', f'{BLOCK * 3}tail', 1))
        ready = [now for now in range(5, 9) if batcher.step(now).tokens]
        self.assertEqual((ready, warm.cached_tokens), ([6], 48))

    def test_cancel_frees_a_slot_of_the_batch(self) -> None:
        batcher = make_batcher(batch_size=1)
        running = batcher.submit(Submission('a', '', 9))
        batcher.step(0)
        waiting = batcher.submit(Submission('b', '', 9))
        kept = batcher.submit(Submission('c', '', 1))
        batcher.cancel(running.ticket)
        batcher.cancel(waiting.ticket)
        tickets = [token.ticket for token in drain(batcher)]
        self.assertEqual(tickets, [kept.ticket])

    @settings(derandomize=True, deadline=None)
    @given(st.text(), st.integers(1, 20), st.data())
    def test_resumed_sequence_continues_with_the_same_tokens(
        self, prompt: str, length: int, data: st.DataObject
    ) -> None:
        resume_from = data.draw(st.integers(0, length - 1))
        batcher = make_batcher()
        batcher.submit(Submission('a', prompt, length, 0, resume_from))
        tokens = drain(batcher)
        self.assertEqual(
            [(token.seq, token.text) for token in tokens],
            [(seq, render_token(prompt, seq)) for seq in range(length)][
                resume_from:
            ],
        )
        self.assertTrue(tokens[-1].last)


class PrefixCacheTest(unittest.TestCase):
    """Contents of the cache, and the changes that it reports."""

    def test_equal_block_after_a_different_prefix_is_a_miss(self) -> None:
        cache = PrefixCache(8)
        cache.store(hash_chain(f'{"y" * 64}{BLOCK}'))
        self.assertEqual(cache.count_cached(hash_chain(BLOCK)), 0)

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.text('ab', max_size=4), max_size=30))
    def test_replayed_changes_give_the_contents(self, words: list[str]) -> None:
        cache = PrefixCache(5)
        replayed: set[str] = set()
        for word in words:
            chain = hash_chain(''.join(letter * 64 for letter in word))
            for change in cache.store(chain):
                if change.kind == 'stored':
                    replayed.add(change.prefix)
                else:
                    replayed.remove(change.prefix)
            self.assertEqual(cache.count_cached(chain), len(chain))
            self.assertEqual(replayed, set(cache.prefixes))
            self.assertLessEqual(len(cache), 5)
