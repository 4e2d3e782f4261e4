"""A caller must receive each chunk of a response once and in order.

Chunks arrive out of order and in copies, and a stream is resumed by an engine
that repeats the chunks already sent. Chunks that wait for a missing one must
not fill the memory.
"""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from snipebend.delivery.stream import (
    BodyCopy,
    ChunkFault,
    ChunkNumberer,
    ChunkSequencer,
)


class StreamTest(unittest.TestCase):
    """The sequencer of the entry, the numberer of the agent, and the copy."""

    @settings(derandomize=True, deadline=None)
    @given(
        order=st.permutations(range(3, 9)),
        duplicates=st.lists(st.integers(0, 8)),
    )
    def test_any_order_with_copies(
        self,
        order: list[int],
        duplicates: list[int],
    ) -> None:
        sequencer = ChunkSequencer(3, max_chunks=6, max_bytes=100)
        released = []
        for seq in (*order[:4], *duplicates, *order[4:]):
            ready = sequencer.add(seq, bytes([seq]))
            self.assertIsInstance(ready, list)
            released.extend(ready)
        self.assertEqual(b''.join(released), bytes(range(3, 9)))
        self.assertIsNone(sequencer.finish(9))
        self.assertIs(sequencer.finish(10), ChunkFault.INCOMPLETE)

    def test_bounds_on_buffered_chunks(self) -> None:
        by_count = ChunkSequencer(0, max_chunks=2, max_bytes=100)
        verdicts = [by_count.add(seq, b'x') for seq in (1, 2, 3)]
        self.assertEqual(verdicts, [[], [], ChunkFault.TOO_FAR_AHEAD])
        by_size = ChunkSequencer(0, max_chunks=9, max_bytes=3)
        self.assertEqual(by_size.add(1, b'xxx'), [])
        self.assertIs(by_size.finish(None), ChunkFault.INCOMPLETE)
        self.assertIs(by_size.add(2, b'x'), ChunkFault.TOO_FAR_AHEAD)

    def test_numbers_of_a_resumed_answer(self) -> None:
        resumes = ChunkNumberer(2, engine_resumes=True)
        repeats = ChunkNumberer(2, engine_resumes=False)
        self.assertEqual([resumes.number() for _ in range(2)], [2, 3])
        numbers = [repeats.number() for _ in range(4)]
        self.assertEqual(numbers, [None, None, 2, 3])
        self.assertEqual((resumes.chunks, repeats.chunks), (4, 4))

    def test_copy_is_complete_or_none(self) -> None:
        copy = BodyCopy(4)
        copy.add(b'ab')
        copy.add(b'cd')
        self.assertEqual(copy.complete_body(), b'abcd')
        copy.add(b'e')
        self.assertIsNone(copy.complete_body())


if __name__ == '__main__':
    unittest.main()
