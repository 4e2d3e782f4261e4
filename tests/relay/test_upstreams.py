"""A restarted upstream must not inherit the state of its predecessor.

A restarted upstream keeps its identity. Calls and failures of the previous
incarnation don't apply to it, and the end of that incarnation can be reported
after the new one has started.
"""

from __future__ import annotations

import unittest

from msgspec import structs

from snipebend.relay.refusals import RefusalReport
from snipebend.relay.upstreams import UpstreamTable
from snipebend.state.roster import RosterPhase, UpstreamRecord


LEARNED_AT = 50.0


class TestIncarnations(unittest.TestCase):
    """An identity may have several incarnations, one after another."""

    def test_later_incarnation_starts_without_state(self):
        table = UpstreamTable()
        first = UpstreamRecord('a', 's', '10.0.0.1:80', 'dc-a', 4, born=10)
        table.apply_records([first])
        former = table.find('a')
        former.own_calls = 3
        former.record_failure(5.0)
        later = structs.replace(first, born=20, address='10.0.0.2:80')
        self.assertEqual(table.apply_records([later]), [former])
        current = table.find('a')
        self.assertEqual((current.calls, current.failures), (0, 0))
        self.assertEqual(table.list_service('s'), (current,))
        # The end of the former incarnation is reported late.
        ended = structs.replace(first, phase=RosterPhase.ENDED)
        self.assertEqual(table.apply_records([ended]), [])
        self.assertIs(table.find('a'), current)

    def test_reports_of_the_former_incarnation_change_nothing(self):
        table = UpstreamTable()
        first = UpstreamRecord('a', 's', '10.0.0.1:80', 'dc-a', 4, born=10)
        table.apply_records([first], 1.0)
        table.apply_calls('other', {'a': 3})
        table.apply_records([structs.replace(first, born=20)], LEARNED_AT)
        current = table.find('a')
        self.assertEqual(current.calls, 0)
        now = LEARNED_AT + 1
        late = {'a': RefusalReport(5, 1.5)}
        self.assertEqual(table.apply_refusals(late, now), [])
        self.assertFalse(current.refusals.is_avoided(now))
        new = {'a': RefusalReport(5, 0.5)}
        self.assertEqual(table.apply_refusals(new, now), [current])

    def test_reports_name_the_incarnation(self):
        table = UpstreamTable()
        first = UpstreamRecord('a', 's', '10.0.0.1:80', 'dc-a', 4, born=10)
        table.apply_records([first], 1.0)
        table.apply_records([structs.replace(first, born=20)], LEARNED_AT)
        now = LEARNED_AT + 1
        for born in (10, 30):
            other = {'a': RefusalReport(5, 0.5, born)}
            self.assertEqual(table.apply_refusals(other, now), [])
        # Received before this entry learned of the next incarnation.
        early = {'a': RefusalReport(8, 1.5, 20)}
        self.assertEqual(len(table.apply_refusals(early, now)), 1)
        table.find('a').refusals.record_refusal(now, now)
        self.assertEqual(table.report_refusals(now)['a'].born, 20)

    def test_late_heartbeat_of_the_former_incarnation(self):
        table = UpstreamTable()
        first = UpstreamRecord('a', 's', '10.0.0.1:80', 'dc-a', 4, born=10)
        later = structs.replace(first, born=20, address='10.0.0.2:80')
        table.apply_records([first, later])
        current = table.find('a')
        for phase in RosterPhase:
            late = structs.replace(first, phase=phase)
            self.assertEqual(table.apply_records([late]), [])
        self.assertIs(table.find('a'), current)
        self.assertEqual(current.record, later)
