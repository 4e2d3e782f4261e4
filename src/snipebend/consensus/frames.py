"""Checksummed frames, the unit in which files of the data folder are written.

A frame is a head of three little-endian 32-bit numbers (length of the payload,
CRC-32C of that length, CRC-32C of the payload) and the payload. The head has a
checksum of its own, so that a damaged length isn't taken for the end of file.
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, NamedTuple

import google_crc32c

from snipebend.errors.hierarchy import CorruptionError

if TYPE_CHECKING:
    from pathlib import Path

_HEAD = struct.Struct('<III')
_LENGTH = struct.Struct('<I')


class Frames(NamedTuple):
    """The intact frames from the start of a file, and where they end."""

    payloads: tuple[bytes, ...]
    end: int


def encode_frame(payload: bytes) -> bytes:
    """Return the payload with its head."""
    return _encode_head(payload) + payload


def read_frames(path: Path) -> Frames:
    """Read a file whose last frame may be torn by a crash.

    A damaged frame counts as torn only when no intact one follows: frames are
    synced one by one, so whatever precedes an intact frame was whole once.

    Raises:
        CorruptionError: when an intact frame follows a damaged one.
    """
    data = path.read_bytes()
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        payload = _frame_at(data, offset)
        if payload is None:
            _refuse_damage(path, data, offset)
            break
        payloads.append(payload)
        offset += _HEAD.size + len(payload)
    return Frames(tuple(payloads), offset)


def read_whole(path: Path) -> tuple[bytes, ...]:
    """Read a file in which no frame can be torn.

    Raises:
        CorruptionError: when a frame is damaged.
    """
    frames = read_frames(path)
    if frames.end != path.stat().st_size:
        raise damage(path, frames.end)
    return frames.payloads


def damage(path: Path, offset: int) -> CorruptionError:
    """Return the error for a damaged frame."""
    return CorruptionError(
        f'{path}: damaged at offset {offset}',
        step='read data folder',
    )


def _encode_head(payload: bytes) -> bytes:
    length = len(payload)
    return _HEAD.pack(
        length,
        google_crc32c.value(_LENGTH.pack(length)),
        google_crc32c.value(payload),
    )


def _frame_at(data: bytes, offset: int) -> bytes | None:
    start = offset + _HEAD.size
    if start > len(data):
        return None
    length, head_sum, payload_sum = _HEAD.unpack_from(data, offset)
    if google_crc32c.value(_LENGTH.pack(length)) != head_sum:
        return None
    payload = data[start : start + length]
    if len(payload) < length or google_crc32c.value(payload) != payload_sum:
        return None
    return payload


def _refuse_damage(path: Path, data: bytes, offset: int) -> None:
    """Look for an intact frame at every later offset; slow, but rare."""
    for later in range(offset + 1, len(data) - _HEAD.size + 1):
        if _frame_at(data, later):
            raise damage(path, offset)
