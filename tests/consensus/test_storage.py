"""A member must not start with wrong or missing data after a fault.

A crash or a full disk tears the last write, a disk changes bytes of earlier
ones, and a crash can separate the two steps of installing a snapshot. Only a
torn last write, or a log that a snapshot replaced, may be dropped; any other
damage must be reported.
"""

from __future__ import annotations

import errno
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from snipebend.consensus import log_file
from snipebend.consensus.actions import Persist
from snipebend.consensus.records import (
    EntryKind,
    HardState,
    LogEntry,
    Members,
    SnapshotMeta,
)
from snipebend.consensus.snapshot_file import Snapshot
from snipebend.consensus.storage import Storage, StoredState
from snipebend.errors.hierarchy import CorruptionError


def entry(index: int, term: int = 1, size: int = 10) -> LogEntry:
    return LogEntry(index, term, EntryKind.COMMAND, b'x' * size)


def write(
    *entries: LogEntry, truncate_from: int | None = None, term: int = 0
) -> Persist:
    hard_state = HardState(term, 'me') if term else None
    return Persist(1, hard_state, truncate_from, entries)


def snapshot(index: int, term: int = 1) -> Snapshot:
    return Snapshot(SnapshotMeta(index, term, Members()), b'state')


class StorageTest(unittest.TestCase):
    """Synced writes survive; damage is reported with file and offset.

    Each test writes to a data folder, damages or interrupts it, and reopens it.
    """

    def setUp(self) -> None:
        name = tempfile.TemporaryDirectory()
        self.addCleanup(name.cleanup)
        self.folder = Path(name.name)
        self.storage = Storage(self.folder)
        self.storage.open('me')

    def wipe(self) -> None:
        for path in self.folder.iterdir():
            path.unlink()

    def reopen(self) -> StoredState:
        self.storage = Storage(self.folder)
        return self.storage.open('another')

    def indexes(self) -> list[int]:
        return [each.index for each in self.reopen().restored.entries]

    def test_writes_survive(self) -> None:
        self.storage.persist([write(entry(1), entry(2), term=3)])
        self.storage.persist(
            [write(entry(3)), write(entry(2, 4), truncate_from=2, term=4)],
        )
        opened = self.reopen()
        self.assertEqual(opened.member_id, 'me')
        self.assertEqual(opened.restored.hard_state, HardState(4, 'me'))
        terms = [(each.index, each.term) for each in opened.restored.entries]
        self.assertEqual(terms, [(1, 1), (2, 4)])

    def test_torn_last_frame_is_truncated_at_every_length(self) -> None:
        self.storage.persist([write(entry(1))])
        path = self.folder / 'log-00000001.seg'
        intact = path.read_bytes()
        self.storage.persist([write(entry(2))])
        torn = path.read_bytes()
        cuts = range(len(intact), len(torn))
        for size in cuts:
            path.write_bytes(torn[:size])
            self.assertEqual(self.indexes(), [1])
            self.assertEqual(path.read_bytes(), intact)
        self.storage.persist([write(entry(2))])
        self.assertEqual(self.indexes(), [1, 2])

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(st.data())
    def test_any_changed_byte_before_the_last_frame_is_detected(
        self, data: st.DataObject
    ) -> None:
        self.wipe()
        storage = Storage(self.folder)
        storage.open('me')
        storage.persist([write(entry(1), term=1)])
        path = self.folder / 'log-00000001.seg'
        safe = path.stat().st_size
        storage.persist([write(entry(2))])
        raw = bytearray(path.read_bytes())
        offset = data.draw(st.integers(0, safe - 1))
        raw[offset] ^= data.draw(st.integers(1, 255))
        path.write_bytes(raw)
        with self.assertRaisesRegex(CorruptionError, 'offset'):
            self.reopen()

    def test_segments_covered_by_a_snapshot_are_deleted(self) -> None:
        with mock.patch.object(log_file, 'SEGMENT_BYTES', 200):
            for index in range(1, 31):
                self.storage.persist([write(entry(index), term=index)])
            before = len(list(self.folder.glob('log-*')))
            self.storage.save_snapshot(snapshot(25), keep_from=21)
        self.assertLess(len(list(self.folder.glob('log-*'))), before / 2)
        opened = self.reopen()
        self.assertEqual(opened.payload, b'state')
        self.assertEqual(opened.restored.hard_state.term, 30)
        self.assertEqual(opened.restored.entries[0].index, 26)
        self.assertEqual(opened.restored.entries[-1].index, 30)
        (self.folder / 'snapshot-00000000000000000025.bin').unlink()
        with self.assertRaisesRegex(CorruptionError, 'no snapshot'):
            self.reopen()

    def test_crash_during_install_drops_the_replaced_log(self) -> None:
        self.storage.persist([write(*map(entry, range(1, 9)), term=1)])
        with (
            mock.patch.object(
                log_file.LogFile, 'restart', side_effect=OSError(errno.EIO, '')
            ),
            self.assertRaises(OSError),
        ):
            self.storage.install_snapshot(snapshot(5, term=2))
        self.assertEqual(self.indexes(), [])
        self.storage.persist([write(entry(6, 2))])
        self.assertEqual(self.indexes(), [6])

    def test_install_restarts_the_log(self) -> None:
        self.storage.persist([write(entry(1), entry(2), term=7)])
        self.storage.install_snapshot(snapshot(40, term=7))
        self.storage.persist([write(entry(41, 7))])
        opened = self.reopen()
        self.assertEqual(opened.restored.hard_state.term, 7)
        self.assertEqual(opened.restored.entries, (entry(41, 7),))

    def test_failed_write_leaves_the_file_unchanged(self) -> None:
        self.storage.persist([write(entry(1))])
        path = self.folder / 'log-00000001.seg'
        before = path.read_bytes()
        real_write = os.write

        def write_partially(descriptor: int, frame: memoryview) -> int:
            if len(frame) < 40:
                raise OSError(errno.ENOSPC, 'full')
            return real_write(descriptor, frame[:-30])

        with mock.patch.object(os, 'write', write_partially):
            with self.assertRaises(OSError):
                self.storage.persist([write(entry(2))])
        self.assertEqual(path.read_bytes(), before)
        self.storage.persist([write(entry(2))])
        self.assertEqual(self.indexes(), [1, 2])

    def test_identity_is_kept_in_the_folder(self) -> None:
        self.assertEqual(self.reopen().member_id, 'me')
        (self.folder / 'identity').unlink()
        with self.assertRaisesRegex(CorruptionError, 'no identity'):
            self.reopen()
        self.wipe()
        self.assertEqual(self.reopen().member_id, 'another')
