"""The log on disk: append-only segment files in the data folder.

Each write is one frame with an optional hard state, an optional truncation of
the log, and new entries. A write is durable only once it is synced. Synced data
is never overwritten, so a crash can damage only the last frame. Segments whose
entries are all covered by a synced snapshot are deleted, the oldest first.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import NamedTuple

import msgspec

from snipebend.consensus.data_folder import sync_folder
from snipebend.consensus.frames import (
    Frames,
    damage_error,
    encode_frame,
    read_frames,
    read_intact_frames,
)
from snipebend.consensus.records import HardState, LogEntry
from snipebend.errors.hierarchy import CorruptionError

#: Size in bytes from which on a new segment is started.
SEGMENT_BYTES = 4_194_304

_PATTERN = 'log-*.seg'


class LogWrite(msgspec.Struct, frozen=True, tag=True):
    """One synced write.

    ``restart`` drops all earlier entries: the log continues after a snapshot
    sent by the leader. ``truncate_from`` drops the entries from that index on.
    """

    hard_state: HardState | None = None
    truncate_from: int | None = None
    entries: tuple[LogEntry, ...] = ()
    restart: bool = False


class LogContent(NamedTuple):
    """The state of the log after all its writes have been replayed."""

    hard_state: HardState
    entries: tuple[LogEntry, ...]


class _Segment:
    """A segment file; ``last_index`` is the highest entry index in it."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.number = int(path.stem.partition('-')[2])
        self.last_index = 0
        self.size = 0

    def record(self, write: LogWrite, size: int) -> None:
        if write.entries:
            self.last_index = max(self.last_index, write.entries[-1].index)
        self.size = size


class LogFile:
    """The log file of one member; not thread-safe."""

    def __init__(self, folder: Path) -> None:
        """Prepare the log; ``load`` must be called before any other method."""
        self._folder = folder
        self._segments: list[_Segment] = []
        self._hard_state = HardState()
        self._entries: list[LogEntry] = []

    def exists(self) -> bool:
        """Return whether the folder contains any segment."""
        return any(self._folder.glob(_PATTERN))

    def load(self) -> LogContent:
        """Read all segments and truncate a torn last frame.

        Raises:
            CorruptionError: if anything else is damaged or missing.
        """
        paths = sorted(self._folder.glob(_PATTERN))
        self._delete_headless_segment(paths)
        for path in paths:
            self._load_segment(path, is_last=path == paths[-1])
        if not self._segments:
            self._begin_segment()
        content = LogContent(self._hard_state, tuple(self._entries))
        self._entries.clear()
        return content

    def append(self, write: LogWrite) -> None:
        """Append and sync a write.

        After an ``OSError``, none of its entries is stored and no entry is
        truncated, but its hard state may be stored: a write that needs a new
        segment first stores the hard state there. The write must be repeated.

        Raises ``CorruptionError`` if a partial write cannot be undone: the file
        must not be written to again.
        """
        if write.hard_state is not None:
            self._hard_state = write.hard_state
        if self._segments[-1].size >= SEGMENT_BYTES:
            self._begin_segment()
        self._write(self._segments[-1], write)

    def restart(self) -> None:
        """Drop all entries, which a synced snapshot has replaced."""
        self._begin_segment(restart=True)
        while len(self._segments) > 1:
            self._segments.pop(0).path.unlink()
        sync_folder(self._folder)

    def drop_until(self, index: int) -> None:
        """Delete the oldest segments, up to ``index``.

        A synced snapshot must cover the entries up to there.
        """
        if self._segments[0].last_index > index:
            return
        if len(self._segments) == 1 and self._segments[0].last_index:
            self._begin_segment()
        while len(self._segments) > 1:
            if self._segments[0].last_index > index:
                break
            self._segments.pop(0).path.unlink()
        sync_folder(self._folder)

    def _begin_segment(self, *, restart: bool = False) -> None:
        number = self._segments[-1].number + 1 if self._segments else 1
        segment = _Segment(self._folder / f'log-{number:08}.seg')
        first_write = LogWrite(self._hard_state, restart=restart)
        segment.path.unlink(missing_ok=True)
        # Not ``touch``: it first tries to set the times of the file, and on a
        # file system that reports success for a missing file it creates none.
        segment.path.write_bytes(b'')
        self._write(segment, first_write)
        sync_folder(self._folder)
        self._segments.append(segment)

    def _write(self, segment: _Segment, write: LogWrite) -> None:
        frame = encode_frame(msgspec.msgpack.encode(write))
        with segment.path.open('r+b', buffering=0) as stream:
            stream.seek(segment.size)
            try:
                _write_all(stream.fileno(), frame)
            except OSError:
                _undo_write(segment, stream.fileno())
                raise
        segment.record(write, segment.size + len(frame))

    def _delete_headless_segment(self, paths: list[Path]) -> None:
        """Delete the last segment if a crash left it without a first frame."""
        if not paths or read_frames(paths[-1]).payloads:
            return
        if len(paths) == 1 and _Segment(paths[0]).number > 1:
            raise damage_error(paths[0], 0)
        paths.pop().unlink()
        sync_folder(self._folder)

    def _load_segment(self, path: Path, *, is_last: bool) -> None:
        segment = _Segment(path)
        if self._segments and segment.number != self._segments[-1].number + 1:
            raise CorruptionError(
                f'{path}: the preceding segment is missing',
                step='read data folder',
            )
        frames = read_frames(path) if is_last else _read_intact(path)
        for payload in frames.payloads:
            self._replay(segment, payload)
        segment.size = frames.end
        if path.stat().st_size > frames.end:
            _truncate_file(path, frames.end)
        self._segments.append(segment)

    def _replay(self, segment: _Segment, payload: bytes) -> None:
        try:
            write = msgspec.msgpack.decode(payload, type=LogWrite)
        except msgspec.DecodeError as exc:
            raise damage_error(segment.path, segment.size) from exc
        if write.hard_state is not None:
            self._hard_state = write.hard_state
        if write.restart:
            self._entries.clear()
        if write.truncate_from is not None:
            self._truncate(write.truncate_from)
        if not self._continues(write.entries):
            raise damage_error(segment.path, segment.size)
        self._entries.extend(write.entries)
        segment.record(write, segment.size + len(payload))

    def _truncate(self, index: int) -> None:
        while self._entries and self._entries[-1].index >= index:
            self._entries.pop()

    def _continues(self, entries: tuple[LogEntry, ...]) -> bool:
        if not entries or not self._entries:
            return True
        return entries[0].index == self._entries[-1].index + 1


def _read_intact(path: Path) -> Frames:
    return Frames(read_intact_frames(path), path.stat().st_size)


def _write_all(descriptor: int, frame: bytes) -> None:
    remaining = memoryview(frame)
    while remaining:
        remaining = remaining[os.write(descriptor, remaining) :]
    os.fsync(descriptor)


def _undo_write(segment: _Segment, descriptor: int) -> None:
    try:
        os.ftruncate(descriptor, segment.size)
        os.fsync(descriptor)
    except OSError as exc:
        raise damage_error(segment.path, segment.size) from exc


def _truncate_file(path: Path, size: int) -> None:
    with path.open('r+b') as stream:
        stream.truncate(size)
        os.fsync(stream.fileno())
