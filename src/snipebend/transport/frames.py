"""Encodes and decodes the frames of responses from agents to entries.

Every response, streamed or not, is a body of frames: a length of four bytes,
big-endian, and a MessagePack record. The agent immediately confirms that it
has admitted the attempt, sends heartbeats while the engine sends nothing, and
ends with :class:`End`; a body without it is incomplete, even if HTTP reports
no error.
"""

from __future__ import annotations

import struct

from msgspec import Struct, msgpack

from snipebend.delivery.messages import RefusalReason

MEDIA_FRAMES = 'application/x-snipebend-frames'

#: Frames above 16 MiB mean that the stream is corrupt.
MAX_FRAME_BYTES = 0x1000000

_LENGTH = struct.Struct('>I')


class Accepted(Struct, frozen=True, tag=True):
    """The attempt was admitted and is being sent to the upstream."""

    request_id: str
    attempt: int


class Declined(Struct, frozen=True, tag=True):
    """The agent refused to start the attempt."""

    attempt: int
    reason: RefusalReason


class Head(Struct, frozen=True, tag=True):
    """Status and headers of the upstream's response."""

    attempt: int
    status: int
    headers: tuple[tuple[str, str], ...]


class Chunk(Struct, frozen=True, tag=True):
    """One chunk of the body: a complete event of a stream, or some bytes.

    ``seq`` counts from 0 over the complete response; a resumed attempt
    continues where the previous one stopped.
    """

    attempt: int
    seq: int
    payload: bytes


class Beat(Struct, frozen=True, tag=True):
    """A heartbeat while the upstream sends nothing."""


class End(Struct, frozen=True, tag=True):
    """The response is complete; ``next_seq`` is one past its last chunk."""

    attempt: int
    next_seq: int


class Broken(Struct, frozen=True, tag=True):
    """The upstream failed; the response remains incomplete.

    ``ran``: the upstream may have begun the work. ``died``: its address now
    refuses connections. ``alone``: no other attempt was running there when it
    died.
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
    """The received bytes are not a valid frame."""


def encode_frame(frame: Frame) -> bytes:
    """Encode one frame with its length."""
    record = _ENCODER.encode(frame)
    return _LENGTH.pack(len(record)) + record


class FrameBuffer:
    """Splits received bytes into frames."""

    def __init__(self) -> None:
        """Initialize with an empty buffer."""
        self._buffer = bytearray()

    def feed(self, received: bytes) -> list[Frame]:
        """Add received bytes and return the frames that they complete.

        Raises:
            FrameError: if a frame is too long or cannot be decoded.
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
        del self._buffer[:start]  # noqa: WPS420  # cheapest removal
        return frames

    def _length_at(self, start: int) -> int:
        length: int = _LENGTH.unpack_from(self._buffer, start)[0]
        if length > MAX_FRAME_BYTES:
            raise FrameError(
                f'frame of {length} bytes exceeds {MAX_FRAME_BYTES}'
            )
        return length


def _decode(record: bytearray) -> Frame:
    try:
        return _DECODER.decode(record)
    except ValueError as exc:
        raise FrameError(str(exc)) from exc
