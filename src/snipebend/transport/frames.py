"""The frames in which an agent's answer travels to the entry.

Every answer, streamed or whole, goes as a body of frames: a length of four
bytes, big-endian, and a MessagePack record. The agent says at once that it
has admitted the attempt, then beats while the engine is quiet, and closes
with :class:`End`; a body without it is incomplete, however it ended.
"""

from __future__ import annotations

import struct

from msgspec import Struct, msgpack

from snipebend.delivery.messages import RefusalReason

MEDIA_FRAMES = 'application/x-snipebend-frames'

#: Frames beyond 16 MiB mean that the stream is damaged.
MAX_FRAME_BYTES = 0x1000000

_LENGTH = struct.Struct('>I')


class Accepted(Struct, frozen=True, tag=True):
    """The attempt was admitted and is on its way to the upstream."""

    request_id: str
    attempt: int


class Declined(Struct, frozen=True, tag=True):
    """The attempt isn't started."""

    attempt: int
    reason: RefusalReason


class Head(Struct, frozen=True, tag=True):
    """Status and headers of the upstream's answer."""

    attempt: int
    status: int
    headers: tuple[tuple[str, str], ...]


class Chunk(Struct, frozen=True, tag=True):
    """One piece of the body: a whole event of a stream, or some bytes.

    ``seq`` counts from 0 in the whole answer; a resumed attempt goes on where
    the former one stopped.
    """

    attempt: int
    seq: int
    payload: bytes


class Beat(Struct, frozen=True, tag=True):
    """A sign of life while the upstream is quiet."""


class End(Struct, frozen=True, tag=True):
    """The answer is complete; ``next_seq`` is one past its last chunk."""

    attempt: int
    next_seq: int


class Broken(Struct, frozen=True, tag=True):
    """The upstream failed; the answer won't get complete.

    ``ran`` tells whether it may have begun the work, ``died`` that it is gone
    since: nothing listens at its address; ``alone`` that nothing else ran there
    when it died.
    """

    attempt: int
    reason: str
    ran: bool = True
    died: bool = False
    alone: bool = False


Frame = Accepted | Declined | Head | Chunk | Beat | End | Broken

_ENCODER = msgpack.Encoder()
_DECODER: msgpack.Decoder[Frame] = msgpack.Decoder(Frame)


class FrameError(ValueError):
    """Bytes that are no frame."""


def encode_frame(frame: Frame) -> bytes:
    """Return the bytes of one frame."""
    record = _ENCODER.encode(frame)
    return _LENGTH.pack(len(record)) + record


class FrameBuffer:
    """Cuts arriving bytes into frames."""

    def __init__(self) -> None:
        """Start empty."""
        self._buffer = bytearray()

    def feed(self, received: bytes) -> list[Frame]:
        """Return the frames that are complete now.

        Raises:
            FrameError: when the bytes are no frames.
        """
        self._buffer += received
        frames: list[Frame] = []
        start = 0
        while len(self._buffer) - start >= _LENGTH.size:
            end = start + _LENGTH.size + self._length_at(start)
            if end > len(self._buffer):
                break
            frames.append(_decode(self._buffer[start + _LENGTH.size : end]))
            start = end
        del self._buffer[:start]  # noqa: WPS420  # the cheap way to cut
        return frames

    def _length_at(self, start: int) -> int:
        length: int = _LENGTH.unpack_from(self._buffer, start)[0]
        if length > MAX_FRAME_BYTES:
            raise FrameError(f'a frame of {length} bytes')
        return length


def _decode(record: bytearray) -> Frame:
    try:
        return _DECODER.decode(record)
    except ValueError as exc:
        raise FrameError(str(exc)) from exc
