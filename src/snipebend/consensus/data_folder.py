"""Files of the data folder that are replaced atomically, and its identity."""

from __future__ import annotations

import os
from contextlib import contextmanager
from typing import TYPE_CHECKING, TypeVar

import msgspec

from snipebend.consensus.frames import (
    encode_frame,
    read_intact_frames,
)
from snipebend.consensus.records import Members
from snipebend.errors.hierarchy import CorruptionError

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

AnyRecord = TypeVar('AnyRecord')

_PARTIAL = '.partial'
_IDENTITY = 'identity'
_FOUNDING = 'founding'


class Identity(msgspec.Struct, frozen=True, tag=True):
    """The member id of a data folder; it never changes."""

    member_id: str


def sync_folder(folder: Path) -> None:
    """Sync a directory, so that created and renamed files survive a crash."""
    with _open_descriptor(folder, os.O_RDONLY) as descriptor:
        os.fsync(descriptor)


def write_record(path: Path, record: object) -> None:
    """Replace a file atomically: write and sync a temporary one, rename it."""
    partial = path.with_name(path.name + _PARTIAL)
    with partial.open('wb') as stream:
        stream.write(encode_frame(msgspec.msgpack.encode(record)))
        stream.flush()
        os.fsync(stream.fileno())
    partial.replace(path)
    sync_folder(path.parent)


def read_record(path: Path, kind: type[AnyRecord]) -> AnyRecord:
    """Read a file written by ``write_record``.

    Raises:
        CorruptionError: if the file is damaged.
    """
    payloads = read_intact_frames(path)
    if len(payloads) != 1:
        raise CorruptionError(
            f'{path}: contains {len(payloads)} frames instead of 1',
            step='read data folder',
        )
    try:
        return msgspec.msgpack.decode(payloads[0], type=kind)
    except msgspec.DecodeError as exc:
        raise CorruptionError(
            f'{path}: frame is not a valid {kind.__name__}: {exc}',
            step='read data folder',
        ) from exc


def open_identity(folder: Path, new_id: str) -> Identity:
    """Return the identity of the folder; an empty one is given ``new_id``.

    Raises:
        CorruptionError: if the folder contains files but no identity.
    """
    folder.mkdir(parents=True, exist_ok=True)
    for partial in folder.glob(f'*{_PARTIAL}'):
        partial.unlink()
    path = folder / _IDENTITY
    if path.exists():
        return read_record(path, Identity)
    if any(entry.is_file() for entry in folder.iterdir()):
        raise CorruptionError(
            f'{folder}: contains files, but no identity file',
            step='read data folder',
        )
    identity = Identity(new_id)
    write_record(path, identity)
    return identity


def read_founding_members(folder: Path) -> Members:
    """Return the founding members of the group; empty if none are stored."""
    path = folder / _FOUNDING
    if path.exists():
        return read_record(path, Members)
    return Members()


def write_founding_members(folder: Path, members: Members) -> None:
    """Store the founding members of the group."""
    write_record(folder / _FOUNDING, members)


@contextmanager
def _open_descriptor(path: Path, flags: int) -> Iterator[int]:
    descriptor = os.open(path, flags)
    try:
        yield descriptor
    finally:
        os.close(descriptor)
