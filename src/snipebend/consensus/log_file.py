"""The log in the data folder: segments that are only ever appended to.

Each write is one frame with a new hard state, a mark that drops entries, and
new entries; it counts only once it is synced. Nothing that was promised is
overwritten, so a crash can damage the last frame alone. Segments whose entries
are all covered by a synced snapshot are deleted from the oldest on.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import NamedTuple

import msgspec

from snipebend.consensus.data_folder import sync_folder
from snipebend.consensus.frames import (
    Frames,
    damage,
    encode_frame,
    read_frames,
    read_whole,
)
from snipebend.consensus.records import HardState, LogEntry
from snipebend.errors.hierarchy import CorruptionError

#: Bytes after which a new segment is begun.
SEGMENT_BYTES = 4_194_304

_PATTERN = 'log-*.seg'


class LogWrite(msgspec.Struct, frozen=True, tag=True):
    """One synced write.

    ``restart`` drops all earlier entries: the log goes on after a snapshot
    that a leader sent. ``truncate_from`` drops the entries from there on.
    """

    hard_state: HardState | None = None
    truncate_from: int | None = None
    entries: tuple[LogEntry, ...] = ()
    restart: bool = False


class LogContent(NamedTuple):
    """What the log holds after all its writes."""

    hard_state: HardState
    entries: tuple[LogEntry, ...]


class _Segment:
    """One file of the log; ``last_index`` is the highest index in it."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.number = int(path.stem.partition('-')[2])
        self.last_index = 0
        self.size = 0

    def note(self, write: LogWrite, size: int) -> None:
        if write.entries:
            self.last_index = max(self.last_index, write.entries[-1].index)
        self.size = size


class LogFile:
    """The log of one member; not for use by two threads at once."""

    def __init__(self, folder: Path) -> None:
        """Keep the folder; ``load`` must come first."""
        self._folder = folder
        self._segments: list[_Segment] = []
        self._hard_state = HardState()
        self._entries: list[LogEntry] = []

    def exists(self) -> bool:
        """Tell whether the folder holds any segment."""
        return any(self._folder.glob(_PATTERN))

    def load(self) -> LogContent:
        """Read all segments and cut off a torn last frame.

        Raises:
            CorruptionError: when anything else is damaged or missing.
        """
        paths = sorted(self._folder.glob(_PATTERN))
        self._drop_unborn(paths)
        for path in paths:
            self._load_segment(path, is_last=path == paths[-1])
        if not self._segments:
            self._begin_segment()
        content = LogContent(self._hard_state, tuple(self._entries))
        self._entries.clear()
        return content

    def append(self, write: LogWrite) -> None:
        """Write and sync; after an ``OSError`` nothing of it is in the file.

        A failure to undo a partial write is a ``CorruptionError``: the file
        must not be written to again.
        """
        if write.hard_state is not None:
            self._hard_state = write.hard_state
        if self._segments[-1].size >= SEGMENT_BYTES:
            self._begin_segment()
        self._write(self._segments[-1], write)

    def restart(self) -> None:
        """Drop all entries: a synced snapshot has replaced them."""
        self._begin_segment(restart=True)
        while len(self._segments) > 1:
            self._segments.pop(0).path.unlink()
        sync_folder(self._folder)

    def drop_until(self, index: int) -> None:
        """Delete the oldest segments that a synced snapshot covers."""
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
        head = LogWrite(self._hard_state, restart=restart)
        segment.path.unlink(missing_ok=True)
        # Not ``touch``: a file system that grants a change of times without a
        # look at the name would leave the file unmade.
        segment.path.write_bytes(b'')
        self._write(segment, head)
        sync_folder(self._folder)
        self._segments.append(segment)

    def _write(self, segment: _Segment, write: LogWrite) -> None:
        frame = encode_frame(msgspec.msgpack.encode(write))
        with segment.path.open('r+b', buffering=0) as stream:
            stream.seek(segment.size)
            try:
                _write_all(stream.fileno(), frame)
            except OSError:
                _undo(segment, stream.fileno())
                raise
        segment.note(write, segment.size + len(frame))

    def _drop_unborn(self, paths: list[Path]) -> None:
        """Delete a last segment that a crash left without its head."""
        if not paths or read_frames(paths[-1]).payloads:
            return
        if len(paths) == 1 and _Segment(paths[0]).number > 1:
            raise damage(paths[0], 0)
        paths.pop().unlink()
        sync_folder(self._folder)

    def _load_segment(self, path: Path, *, is_last: bool) -> None:
        segment = _Segment(path)
        if self._segments and segment.number != self._segments[-1].number + 1:
            raise CorruptionError(
                f'{path}: the segment before it is missing',
                step='read data folder',
            )
        frames = read_frames(path) if is_last else _whole(path)
        for payload in frames.payloads:
            self._replay(segment, payload)
        segment.size = frames.end
        if path.stat().st_size > frames.end:
            _cut(path, frames.end)
        self._segments.append(segment)

    def _replay(self, segment: _Segment, payload: bytes) -> None:
        try:
            write = msgspec.msgpack.decode(payload, type=LogWrite)
        except msgspec.DecodeError as exc:
            raise damage(segment.path, segment.size) from exc
        if write.hard_state is not None:
            self._hard_state = write.hard_state
        if write.restart:
            self._entries.clear()
        if write.truncate_from is not None:
            self._truncate(write.truncate_from)
        if not self._continues(write.entries):
            raise damage(segment.path, segment.size)
        self._entries.extend(write.entries)
        segment.note(write, segment.size + len(payload))

    def _truncate(self, index: int) -> None:
        while self._entries and self._entries[-1].index >= index:
            self._entries.pop()

    def _continues(self, entries: tuple[LogEntry, ...]) -> bool:
        if not entries or not self._entries:
            return True
        return entries[0].index == self._entries[-1].index + 1


def _whole(path: Path) -> Frames:
    return Frames(read_whole(path), path.stat().st_size)


def _write_all(descriptor: int, frame: bytes) -> None:
    rest = memoryview(frame)
    while rest:
        rest = rest[os.write(descriptor, rest) :]
    os.fsync(descriptor)


def _undo(segment: _Segment, descriptor: int) -> None:
    try:
        os.ftruncate(descriptor, segment.size)
        os.fsync(descriptor)
    except OSError as exc:
        raise damage(segment.path, segment.size) from exc


def _cut(path: Path, size: int) -> None:
    with path.open('r+b') as stream:
        stream.truncate(size)
        os.fsync(stream.fileno())
