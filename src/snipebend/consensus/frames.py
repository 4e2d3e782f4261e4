"""Checksummed frames, the unit in which files of the data folder are written.

A frame is a header of three little-endian 32-bit numbers (length of the
payload, CRC-32C of that length, CRC-32C of the payload) and the payload. The
length has its own checksum so that a damaged length is not mistaken for a frame
truncated by the end of the file.
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, NamedTuple

import google_crc32c

from snipebend.errors.hierarchy import CorruptionError

if TYPE_CHECKING:
    from pathlib import Path

_HEADER = struct.Struct('<III')
_LENGTH = struct.Struct('<I')


class Frames(NamedTuple):
    """The intact frames at the start of a file, and the offset of their end."""

    payloads: tuple[bytes, ...]
    end: int


def encode_frame(payload: bytes) -> bytes:
    """Return the payload with its header."""
    return _encode_header(payload) + payload


def read_frames(path: Path) -> Frames:
    """Read a file whose last frame may be torn by a crash.

    A damaged frame is treated as torn only if no intact frame follows: frames
    are synced one by one, so each frame before an intact one was once intact.

    Raises:
        CorruptionError: if an intact frame follows a damaged one.
    """
    data = path.read_bytes()
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        payload = _frame_at(data, offset)
        if payload is None:
            _raise_if_frame_follows(path, data, offset)
            break
        payloads.append(payload)
        offset += _HEADER.size + len(payload)
    return Frames(tuple(payloads), offset)


def read_intact_frames(path: Path) -> tuple[bytes, ...]:
    """Read a file in which no frame can be torn.

    Raises:
        CorruptionError: if a frame is damaged.
    """
    frames = read_frames(path)
    if frames.end != path.stat().st_size:
        raise damage_error(path, frames.end)
    return frames.payloads


def damage_error(path: Path, offset: int) -> CorruptionError:
    """Return the error for a damaged frame."""
    return CorruptionError(
        f'{path}: frame damaged at offset {offset}',
        step='read data folder',
    )


def _encode_header(payload: bytes) -> bytes:
    length = len(payload)
    return _HEADER.pack(
        length,
        google_crc32c.value(_LENGTH.pack(length)),
        google_crc32c.value(payload),
    )


def _frame_at(data: bytes, offset: int) -> bytes | None:
    start = offset + _HEADER.size
    if start > len(data):
        return None
    length, header_sum, payload_sum = _HEADER.unpack_from(data, offset)
    if google_crc32c.value(_LENGTH.pack(length)) != header_sum:
        return None
    payload = data[start : start + length]
    if len(payload) < length or google_crc32c.value(payload) != payload_sum:
        return None
    return payload


def _raise_if_frame_follows(path: Path, data: bytes, offset: int) -> None:
    """Raise if an intact frame starts at any later offset.

    Checking every offset is slow, but happens only after damage.
    """
    for later in range(offset + 1, len(data) - _HEADER.size + 1):
        if _frame_at(data, later):
            raise damage_error(path, offset)
