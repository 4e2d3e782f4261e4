"""Guards against frames or events that are lost or corrupted when decoded.

Reads end anywhere, also inside a frame or an event. A corrupt frame must raise
an error, and an end marker inside a text must not end the stream.
"""

from __future__ import annotations

import unittest

from snipebend.delivery.messages import RefusalReason
from snipebend.transport.events import EventBuffer, is_done, is_error
from snipebend.transport.frames import (
    Accepted,
    Beat,
    Broken,
    Chunk,
    Declined,
    End,
    FrameBuffer,
    FrameError,
    Head,
    encode_frame,
)

_FRAMES = (
    Accepted('r', 1),
    Declined(2, RefusalReason.LEAVING),
    Head(1, 200, (('content-type', 'text/event-stream'), ('a', 'b'))),
    Chunk(1, 0, b'data: x\n\n'),
    Beat(),
    Chunk(1, 1, bytes(300)),
    Broken(1, 'lost'),
    End(1, 2),
)


class FrameBufferTest(unittest.TestCase):
    """Frames between entry and agent, split at any byte or corrupted."""

    def test_any_split_gives_the_same_frames(self) -> None:
        wire = b''.join(map(encode_frame, _FRAMES))
        for size in (1, 2, 3, 7, 64, len(wire)):
            buffer = FrameBuffer()
            frames = []
            for start in range(0, len(wire), size):
                frames.extend(buffer.feed(wire[start : start + size]))
            self.assertEqual(tuple(frames), _FRAMES)

    def test_corrupt_frames_raise(self) -> None:
        wire = encode_frame(Beat())
        for corrupt in (b'\xff' * 8, wire[:4] + b'\x00' * (len(wire) - 4)):
            with self.assertRaises(FrameError):
                FrameBuffer().feed(corrupt)


class EventBufferTest(unittest.TestCase):
    """Server-sent events of an engine, split at any byte."""

    def test_any_split_gives_the_same_events(self) -> None:
        events = [
            b'data: a\n\n',
            b'event: error\ndata: b\n\n',
            b'data: c\r\n\r\n',
            b'data: [DONE]\n\n',
        ]
        self.check_splits(events)
        self.assertEqual([one for one in events if is_done(one)], events[3:])
        self.assertEqual([one for one in events if is_error(one)], events[1:2])

    def test_lines_that_end_with_a_carriage_return(self) -> None:
        events = [b'event: error\rdata: b\r\r', b'data: [DONE]\r\r']
        self.check_splits(events)
        self.assertEqual([one for one in events if is_done(one)], events[1:])
        self.assertEqual([one for one in events if is_error(one)], events[:1])

    def check_splits(self, events: list[bytes]) -> None:
        wire = b''.join(events)
        for size in (1, 2, 5, len(wire)):
            buffer = EventBuffer()
            found = []
            for start in range(0, len(wire), size):
                found.extend(buffer.feed(wire[start : start + size]))
            self.assertEqual(found, events)
            self.assertFalse(buffer.partial)

    def test_done_inside_a_text_does_not_end_the_stream(self) -> None:
        self.assertFalse(is_done(b'data: {"text": "data: [DONE]"}\n\n'))


if __name__ == '__main__':
    unittest.main()
