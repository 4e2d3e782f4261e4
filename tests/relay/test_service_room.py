"""The room that an entry sees at the upstreams of a service.

A place that another entry's call has left is that entry's to give; a group that
has stopped has none.
"""

from __future__ import annotations

import unittest

from snipebend.relay.service_room import ServiceRoom, measure_room
from snipebend.relay.upstreams import LEFT_PLACE_S, UpstreamTable
from snipebend.state.host_updates import GroupPhase, UpstreamGroupStatus
from snipebend.state.roster import UpstreamRecord

NOW = 10.0
SLOTS = 4


def make_table(ranks, alone=0):
    table = UpstreamTable()
    names = [str(number) for number in range(ranks + alone)]
    table.apply_records(
        UpstreamRecord(name, 's', '10.0.0.1:80', 'dc', SLOTS) for name in names
    )
    apply_phase(table, GroupPhase.OPEN, names[:ranks])
    return table


def apply_phase(table, phase, names):
    status = UpstreamGroupStatus('g', 's', phase, tuple(names))
    table.apply_group_statuses([status])


def measure(table, now=NOW):
    return measure_room(
        table.list_service('s'), 0.12, None, now, lambda upstream: True
    )


class TestMeasureRoom(unittest.TestCase):
    """Counts the free slots of open upstreams, up to each group's bound."""

    def test_calls_of_all_entries_take_room(self):
        table = make_table(2, alone=1)
        table.find('0').own_calls = 1
        table.apply_calls('e2', {'0': 2, '2': 3}, NOW)
        self.assertEqual(measure(table), ServiceRoom(6, 6, 12, 6))

    def test_overfull_upstream_takes_no_room_of_others(self):
        table = make_table(0, alone=2)
        table.find('0').own_calls = SLOTS + 3
        self.assertEqual(measure(table).free, SLOTS)

    def test_calls_that_wait_at_a_rank_take_no_place_of_its_group(self):
        table = make_table(2)
        table.find('0').own_calls = SLOTS + 3
        room = measure(table)
        self.assertEqual((room.free, room.free_places), (SLOTS - 3, SLOTS))

    def test_left_place_is_another_entrys_for_a_while(self):
        table = make_table(0, alone=1)
        table.apply_calls('e2', {'0': SLOTS}, NOW)
        table.apply_calls('e2', {'0': SLOTS - 1}, NOW)
        self.assertEqual(measure(table).free, 0)
        self.assertEqual(measure(table, NOW + LEFT_PLACE_S).free, 1)

    def test_stopped_group_has_no_room(self):
        table = make_table(2)
        apply_phase(table, GroupPhase.DOWN, ('0', '1'))
        self.assertTrue(measure(table).is_down)
        self.assertEqual(measure(table).free, 0)

    def test_others_serve_while_a_group_has_stopped(self):
        table = make_table(1, alone=1)
        apply_phase(table, GroupPhase.DOWN, ('0',))
        self.assertEqual(measure(table), ServiceRoom(SLOTS, 0, SLOTS, SLOTS))

    def test_no_open_upstream(self):
        self.assertEqual(measure(UpstreamTable()), ServiceRoom())


if __name__ == '__main__':
    unittest.main()
