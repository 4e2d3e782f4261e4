"""Guards against watchers that sleep while what they watch changes.

Without a wake-up, entries learn of a change by the next keep-alive only, up to
half a second later.
"""

from __future__ import annotations

import unittest

from snipebend.consensus.records import EntryKind, LogEntry
from snipebend.state.commands import (
    ChangeEvacuation,
    PutDocument,
    RecordUpstream,
    encode_command,
)
from snipebend.state.documents import PutRequest
from snipebend.state.evacuations import EvacuationOrder
from snipebend.state.roster import RecordRequest, UpstreamRecord
from snipebend.transport.applier import Applier

COMMANDS = (
    PutDocument(PutRequest(4, b'four'), 1),
    RecordUpstream(
        RecordRequest(UpstreamRecord('i-1', 's', '10.0.0.1:80', 'dc-a', 4)), 1
    ),
    ChangeEvacuation(EvacuationOrder('dc-a', evacuate=True, after=0), 1),
)


class TestWatchedRevisions(unittest.TestCase):
    """A replica notifies watchers when these revisions change."""

    def test_each_change_that_entries_watch_is_noticed(self):
        applier = Applier(None, 0, 1000)
        for number, command in enumerate(COMMANDS, 1):
            with self.subTest(command=type(command).__name__):
                before = applier.watched_revisions
                applier.apply(
                    LogEntry(
                        number, 1, EntryKind.COMMAND, encode_command(command)
                    )
                )
                self.assertNotEqual(applier.watched_revisions, before)


if __name__ == '__main__':
    unittest.main()
