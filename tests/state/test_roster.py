"""Phases of upstreams only grow."""

from __future__ import annotations

import unittest

from msgspec import json
from msgspec.structs import replace

from snipebend.state.roster import (
    KEEP_ENDED,
    RecordRequest,
    Roster,
    RosterPhase,
    UpstreamRecord,
)

READY = UpstreamRecord('i-1', 's', '10.0.0.1:80', 'dc-a', 6)


def ended(identity):
    return UpstreamRecord(identity, '', '', '', 0, RosterPhase.ENDED)


class TestRoster(unittest.TestCase):
    """What is recorded, and what isn't."""

    def setUp(self):
        self.roster = Roster()

    def record(self, upstream):
        return self.roster.record(RecordRequest(upstream))

    def test_a_repeat_is_no_news(self):
        self.assertEqual(self.record(READY).revision, 1)
        self.assertEqual(self.record(READY).revision, 1)

    def test_a_late_ready_brings_nobody_back(self):
        self.record(READY)
        leaving = UpstreamRecord(
            'i-1', 's', '10.0.0.1:80', 'dc-a', 6, RosterPhase.LEAVING
        )
        self.assertIs(self.record(leaving).phase, RosterPhase.LEAVING)
        self.assertIs(self.record(READY).phase, RosterPhase.LEAVING)
        self.assertIs(self.record(ended('i-1')).phase, RosterPhase.ENDED)
        self.assertIs(self.record(READY).phase, RosterPhase.ENDED)
        self.assertIs(self.record(leaving).phase, RosterPhase.ENDED)

    def test_an_end_keeps_where_it_was(self):
        self.record(READY)
        self.record(ended('i-1'))
        self.assertEqual(self.roster.upstreams['i-1'].address, '10.0.0.1:80')

    def test_an_end_that_overtakes_the_first_announcement(self):
        self.record(ended('i-1'))
        self.assertIs(self.record(READY).phase, RosterPhase.ENDED)

    def test_a_later_life_under_the_same_identity_begins_anew(self):
        first = replace(READY, born=1000)
        self.record(first)
        self.record(replace(first, phase=RosterPhase.LEAVING))
        self.record(replace(ended('i-1'), born=1000))
        again = replace(READY, born=2000, address='10.0.0.9:80')
        self.assertIs(self.record(again).phase, RosterPhase.READY)
        self.assertEqual(self.roster.upstreams['i-1'].address, '10.0.0.9:80')
        # What its former life says late changes nothing.
        for late in (first, replace(first, phase=RosterPhase.LEAVING)):
            self.assertIs(self.record(late).phase, RosterPhase.READY)
        late_end = replace(ended('i-1'), born=1000)
        self.assertIs(self.record(late_end).phase, RosterPhase.READY)
        # Its own end counts, told with its start or without.
        self.assertIs(self.record(ended('i-1')).phase, RosterPhase.ENDED)
        self.assertIs(self.record(again).phase, RosterPhase.ENDED)

    def test_another_service_speaks_of_somebody_else(self):
        self.record(READY)
        other = replace(READY, service='t', phase=RosterPhase.LEAVING)
        self.assertIs(self.record(other).phase, RosterPhase.READY)

    def test_records_of_the_former_version_are_read(self):
        """They didn't tell a start."""
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

    def test_two_lives_at_one_address_are_both_known(self):
        self.record(READY)
        reborn = UpstreamRecord('i-2', 's', '10.0.0.1:80', 'dc-a', 6)
        self.record(reborn)
        self.assertEqual(set(self.roster.upstreams), {'i-1', 'i-2'})

    def test_since_returns_what_is_newer(self):
        self.record(READY)
        self.record(UpstreamRecord('i-2', 's', '10.0.0.2:80', 'dc-a', 6))
        self.record(ended('i-1'))
        newer = {one.identity for one in self.roster.since(1, 9)}
        self.assertEqual(newer, {'i-1', 'i-2'})
        self.assertEqual(self.roster.since(3, 9), ())

    def test_ended_ones_are_forgotten_in_the_end(self):
        self.record(READY)
        for number in range(KEEP_ENDED + 5):
            self.record(ended(f'e-{number}'))
        self.assertEqual(len(self.roster.upstreams), KEEP_ENDED + 1)
        self.assertIn('i-1', self.roster.upstreams)
        self.assertNotIn('e-4', self.roster.upstreams)
