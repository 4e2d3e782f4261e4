"""The phase of an upstream must not go back while it leaves or after its end.

Announcements arrive late, repeatedly and out of order, so that an earlier phase
can follow a later one. An upstream that restarts under its identity must start
with the first phase nevertheless. If the phase went back, work would be sent
to an upstream that is shutting down.
"""

from __future__ import annotations

import unittest

from msgspec import json
from msgspec.structs import replace

from snipebend.state.roster import (
    MAX_ENDED,
    RecordRequest,
    Roster,
    RosterPhase,
    UpstreamRecord,
)

READY = UpstreamRecord('i-1', 's', '10.0.0.1:80', 'dc-a', 6)


def ended(identity):
    return UpstreamRecord(identity, '', '', '', 0, RosterPhase.ENDED)


class TestRoster(unittest.TestCase):
    """Updates that are recorded, and updates that are ignored."""

    def setUp(self):
        self.roster = Roster()

    def record(self, upstream):
        return self.roster.record(RecordRequest(upstream))

    def test_repeated_announcement_changes_nothing(self):
        self.assertEqual(self.record(READY).revision, 1)
        self.assertEqual(self.record(READY).revision, 1)

    def test_late_announcement_does_not_revert_the_phase(self):
        self.record(READY)
        leaving = UpstreamRecord(
            'i-1', 's', '10.0.0.1:80', 'dc-a', 6, RosterPhase.LEAVING
        )
        self.assertIs(self.record(leaving).phase, RosterPhase.LEAVING)
        self.assertIs(self.record(READY).phase, RosterPhase.LEAVING)
        self.assertIs(self.record(ended('i-1')).phase, RosterPhase.ENDED)
        self.assertIs(self.record(READY).phase, RosterPhase.ENDED)
        self.assertIs(self.record(leaving).phase, RosterPhase.ENDED)

    def test_address_is_held_by_its_last_incarnation(self):
        successor = replace(READY, identity='i-2')
        moved = replace(READY, identity='i-3', address='10.0.0.2:80')
        for announced in (READY, successor, moved):
            self.record(announced)
        self.record(replace(READY, phase=RosterPhase.LEAVING))
        self.assertEqual(list(self.roster.list_occupants('s')), ['i-2', 'i-3'])
        self.record(replace(successor, identity='i-4', service='t'))
        self.assertEqual(list(self.roster.list_occupants('s')), ['i-3'])
        self.record(replace(moved, phase=RosterPhase.ENDED))
        self.assertEqual(self.roster.list_occupants('s'), {})

    def test_start_times_tell_who_holds_an_address(self):
        self.record(replace(READY, identity='i-2', born=2))
        self.record(replace(READY, born=1))
        self.assertEqual(list(self.roster.list_occupants('s')), ['i-2'])

    def test_ended_upstream_keeps_its_address(self):
        self.record(READY)
        self.record(ended('i-1'))
        self.assertEqual(self.roster.upstreams['i-1'].address, '10.0.0.1:80')

    def test_end_received_before_the_first_announcement(self):
        self.record(ended('i-1'))
        self.assertIs(self.record(READY).phase, RosterPhase.ENDED)

    def test_later_incarnation_starts_with_the_first_phase(self):
        first = replace(READY, born=1000)
        self.record(first)
        self.record(replace(first, phase=RosterPhase.LEAVING))
        self.record(replace(ended('i-1'), born=1000))
        again = replace(READY, born=2000, address='10.0.0.9:80')
        self.assertIs(self.record(again).phase, RosterPhase.READY)
        self.assertEqual(self.roster.upstreams['i-1'].address, '10.0.0.9:80')
        # Late updates of the previous incarnation change nothing.
        for late in (first, replace(first, phase=RosterPhase.LEAVING)):
            self.assertIs(self.record(late).phase, RosterPhase.READY)
        late_end = replace(ended('i-1'), born=1000)
        self.assertIs(self.record(late_end).phase, RosterPhase.READY)
        # The end of the new incarnation counts with or without its start time.
        self.assertIs(self.record(ended('i-1')).phase, RosterPhase.ENDED)
        self.assertIs(self.record(again).phase, RosterPhase.ENDED)

    def test_update_with_another_service_is_ignored(self):
        self.record(READY)
        other = replace(READY, service='t', phase=RosterPhase.LEAVING)
        self.assertIs(self.record(other).phase, RosterPhase.READY)

    def test_records_of_the_previous_version_can_be_read(self):
        """Those records had no start time."""
        old = json.encode(
            {
                'revision': 7,
                'upstreams': {
                    'i-1': {
                        'identity': 'i-1',
                        'service': 's',
                        'address': '10.0.0.1:80',
                        'data_center': 'dc-a',
                        'slots': 6,
                        'phase': 1,
                        'revision': 7,
                    }
                },
            }
        )
        self.roster = json.decode(old, type=Roster)
        self.assertIs(self.record(READY).phase, RosterPhase.LEAVING)
        born = replace(READY, born=5)
        self.assertIs(self.record(born).phase, RosterPhase.READY)

    def test_two_identities_at_one_address_are_both_kept(self):
        self.record(READY)
        reborn = UpstreamRecord('i-2', 's', '10.0.0.1:80', 'dc-a', 6)
        self.record(reborn)
        self.assertEqual(set(self.roster.upstreams), {'i-1', 'i-2'})

    def test_records_since_returns_newer_records(self):
        self.record(READY)
        self.record(UpstreamRecord('i-2', 's', '10.0.0.2:80', 'dc-a', 6))
        self.record(ended('i-1'))
        newer = {one.identity for one in self.roster.records_since(1, 9)}
        self.assertEqual(newer, {'i-1', 'i-2'})
        self.assertEqual(self.roster.records_since(3, 9), ())

    def test_oldest_ended_upstreams_are_removed(self):
        self.record(READY)
        for number in range(MAX_ENDED + 5):
            self.record(ended(f'e-{number}'))
        self.assertEqual(len(self.roster.upstreams), MAX_ENDED + 1)
        self.assertIn('i-1', self.roster.upstreams)
        self.assertNotIn('e-4', self.roster.upstreams)
