"""Lives of upstreams in an entry's table."""

from __future__ import annotations

import unittest

from msgspec import structs

from snipebend.relay.upstreams import UpstreamTable
from snipebend.state.roster import RosterPhase, UpstreamRecord


class TestLives(unittest.TestCase):
    """An identity may stand for one life after another."""

    def test_a_later_life_begins_with_nothing(self):
        table = UpstreamTable()
        first = UpstreamRecord('a', 's', '10.0.0.1:80', 'dc-a', 4, born=10)
        table.take([first])
        old = table.find('a')
        old.own_calls = 3
        old.note_failure(5.0)
        later = structs.replace(first, born=20, address='10.0.0.2:80')
        self.assertEqual(table.take([later]), [old])
        new = table.find('a')
        self.assertEqual((new.calls, new.failures), (0, 0))
        self.assertEqual(table.of_service('s'), (new,))
        # The former life's end comes late.
        gone = structs.replace(first, phase=RosterPhase.ENDED)
        self.assertEqual(table.take([gone]), [])
        self.assertIs(table.find('a'), new)
