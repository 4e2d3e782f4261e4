"""The data folder: whole files replaced at once, and who we are."""

from __future__ import annotations

import os
from contextlib import contextmanager
from typing import TYPE_CHECKING, TypeVar

import msgspec

from snipebend.consensus.frames import damage, encode_frame, read_whole
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
    """Who the owner of a data folder is, for as long as the folder lasts."""

    member_id: str


def sync_folder(folder: Path) -> None:
    """Sync the names in a folder."""
    with _opened(folder, os.O_RDONLY) as descriptor:
        os.fsync(descriptor)


def write_record(path: Path, record: object) -> None:
    """Write a file aside, sync it and put it in place in one step."""
    partial = path.with_name(path.name + _PARTIAL)
    with partial.open('wb') as stream:
        stream.write(encode_frame(msgspec.msgpack.encode(record)))
        stream.flush()
        os.fsync(stream.fileno())
    partial.replace(path)
    sync_folder(path.parent)


def read_record(path: Path, kind: type[AnyRecord]) -> AnyRecord:
    """Read a file that ``write_record`` wrote.

    Raises:
        CorruptionError: when the file is damaged.
    """
    payloads = read_whole(path)
    if len(payloads) != 1:
        raise damage(path, 0)
    try:
        return msgspec.msgpack.decode(payloads[0], type=kind)
    except msgspec.DecodeError as exc:
        raise damage(path, 0) from exc


def open_identity(folder: Path, fresh_id: str) -> Identity:
    """Return the folder's identity; an empty folder gets the fresh one.

    Raises:
        CorruptionError: when the folder holds files but no identity.
    """
    folder.mkdir(parents=True, exist_ok=True)
    for partial in folder.glob(f'*{_PARTIAL}'):
        partial.unlink()
    path = folder / _IDENTITY
    if path.exists():
        return read_record(path, Identity)
    if any(entry.is_file() for entry in folder.iterdir()):
        raise CorruptionError(
            f'{folder}: has files, but no identity',
            step='read data folder',
        )
    identity = Identity(fresh_id)
    write_record(path, identity)
    return identity


def read_founding(folder: Path) -> Members:
    """Return the members that the group was founded with, or none."""
    path = folder / _FOUNDING
    if path.exists():
        return read_record(path, Members)
    return Members()


def write_founding(folder: Path, members: Members) -> None:
    """Keep the members that the group was founded with."""
    write_record(folder / _FOUNDING, members)


@contextmanager
def _opened(path: Path, flags: int) -> Iterator[int]:
    descriptor = os.open(path, flags)
    try:
        yield descriptor
    finally:
        os.close(descriptor)
