"""The choice of an upstream."""

from __future__ import annotations

import unittest
from random import Random

from msgspec import structs

from snipebend.relay.choosing import Wish, choose
from snipebend.relay.upstream_groups import (
    LEFT_FOR_S,
    REMEMBERED_S,
    UpstreamGroup,
)
from snipebend.relay.upstreams import (
    FIRST_PAUSE_S,
    LONGEST_PAUSE_S,
    Upstream,
    UpstreamTable,
)
from snipebend.state.host_updates import GroupPhase, UpstreamGroupStatus
from snipebend.state.roster import RosterPhase, UpstreamRecord

WISH = Wish('dc-a')


def upstream(identity, data_center='dc-a', **fields):
    record = UpstreamRecord(identity, 's', '10.0.0.1:80', data_center, 4)
    return Upstream(record, **fields)


class TestChoose(unittest.TestCase):
    """The least work, then the own data center."""

    def pick(self, *candidates, wish=WISH, now=10.0):
        chosen = choose(candidates, wish, now, Random(1))
        return chosen and chosen.record.identity

    def test_least_work_of_all_entries(self):
        busy = upstream('busy', own_calls=1, others_calls={'e2': 2})
        self.assertEqual(self.pick(busy, upstream('b', own_calls=2)), 'b')

    def test_own_data_center_among_equals(self):
        far = upstream('far', 'dc-b')
        self.assertEqual(self.pick(far, upstream('near')), 'near')
        near = upstream('near', own_calls=1)
        self.assertEqual(self.pick(far, near), 'far')

    def test_closed_ones_are_passed_over(self):
        leaving = UpstreamRecord(
            'l', 's', '10.0.0.1:80', 'dc-a', 4, RosterPhase.LEAVING
        )
        closed = (
            Upstream(leaving),
            upstream('paused', paused_until=11.0),
            upstream('resting', rests_until=11.0),
            upstream('said it leaves', leaving=True),
            upstream('displaced', displaced=True),
            upstream('full', own_calls=8),
        )
        self.assertIsNone(self.pick(*closed))
        self.assertEqual(self.pick(*closed, upstream('open')), 'open')

    def test_tried_ones_are_passed_over(self):
        wish = WISH._replace(tried=('a',))
        self.assertIsNone(self.pick(upstream('a'), wish=wish))

    def test_slow_ones_come_last(self):
        slow = upstream('slow', slow=True)
        busy = upstream('busy', own_calls=3)
        self.assertEqual(self.pick(slow, busy), 'busy')
        full = upstream('full', own_calls=8)
        self.assertEqual(self.pick(slow, full), 'slow')

    def test_a_group_that_is_down_comes_last(self):
        group = UpstreamGroup('g')
        down = upstream('down', group=group)
        group.note_lost_rank(10.0)
        busy = upstream('busy', own_calls=3)
        self.assertEqual(self.pick(down, busy), 'busy')
        self.assertEqual(self.pick(down), 'down')
        self.assertEqual(self.pick(down, busy, now=10.0 + LEFT_FOR_S), 'down')

    def test_a_group_that_makes_every_stream_late_comes_last(self):
        """One of its ranks is slow, and all wait for it in each pass."""
        lagging = UpstreamGroup('g', has_slow=True)
        other = UpstreamGroup('h')
        for at in range(20):
            lagging.note_pass(1, 0.4, 10.0 + 0.4 * at)
            other.note_pass(5, 0.3, 10.0 + 0.4 * at)
        idle = upstream('idle', group=lagging)
        busy = upstream('busy', group=other, own_calls=7)
        wish = WISH._replace(allowed_pause_s=0.12)
        now = 18.0
        self.assertEqual(self.pick(idle, busy, wish=wish, now=now), 'busy')
        self.assertEqual(self.pick(idle, busy, now=now), 'idle')
        full = upstream('full', group=other, own_calls=8)
        self.assertEqual(self.pick(idle, full, wish=wish, now=now), 'idle')
        # What isn't used shows nothing: one call at a time finds out.
        later = now + REMEMBERED_S
        self.assertEqual(self.pick(idle, busy, wish=wish, now=later), 'idle')
        lagging.note_call(later)
        later += REMEMBERED_S / 2
        self.assertEqual(self.pick(idle, busy, wish=wish, now=later), 'busy')
        lagging.note_pass(1, 0.06, later)
        self.assertEqual(self.pick(idle, busy, wish=wish, now=later), 'idle')
        lagging.has_slow = False
        self.assertEqual(self.pick(idle, busy, wish=wish, now=now), 'idle')

    def test_equals_share_the_work(self):
        rng = Random(3)
        ones = [upstream(str(number)) for number in range(4)]
        drawn = {choose(ones, WISH, 0, rng).record.identity for _ in range(60)}
        self.assertEqual(len(drawn), 4)


class TestUpstreams(unittest.TestCase):
    """What an entry keeps of each."""

    def test_pauses_grow_and_an_answer_ends_them(self):
        one = upstream('a')
        one.note_failure(5.0)
        self.assertFalse(one.is_open(5.0 + FIRST_PAUSE_S / 2))
        self.assertTrue(one.is_open(5.0 + FIRST_PAUSE_S))
        for _ in range(20):
            one.note_failure(5.0)
        self.assertEqual(one.paused_until, 5.0 + LONGEST_PAUSE_S)
        one.note_answer(14.0)
        self.assertTrue(one.is_open(5.0))

    def test_ended_ones_leave_the_table(self):
        table = UpstreamTable()
        ready = UpstreamRecord('a', 's', '10.0.0.1:80', 'dc-a', 4)
        table.take([ready])
        gone = UpstreamRecord(
            'a', 's', '10.0.0.1:80', 'dc-a', 4, RosterPhase.ENDED
        )
        self.assertEqual(len(table.take([gone])), 1)
        self.assertEqual(table.of_service('s'), ())
        self.assertEqual(table.take([gone]), [])

    def test_a_late_record_takes_nothing_back(self):
        table = UpstreamTable()
        leaving = UpstreamRecord(
            'a', 's', '10.0.0.1:80', 'dc-a', 4, RosterPhase.LEAVING
        )
        table.take([leaving])
        table.take([UpstreamRecord('a', 's', '10.0.0.1:80', 'dc-a', 4)])
        self.assertFalse(table.find('a').is_open(0))

    def test_other_entries_calls_are_replaced(self):
        table = UpstreamTable()
        table.take([UpstreamRecord('a', 's', '10.0.0.1:80', 'dc-a', 4)])
        table.take_calls('e2', {'a': 3, 'unknown': 1})
        self.assertEqual(table.find('a').calls, 3)
        table.take_calls('e2', {})
        self.assertEqual(table.find('a').calls, 0)

    def test_control_tells_of_groups(self):
        """Also of a rank whose record comes later."""
        table = UpstreamTable()
        down = UpstreamGroupStatus(
            'g', 's', GroupPhase.DOWN, ('a', 'b'), ('b',)
        )
        table.take([UpstreamRecord('a', 's', '10.0.0.1:80', 'dc-a', 4)])
        table.take_groups([down])
        table.take([UpstreamRecord('b', 's', '10.0.0.2:80', 'dc-a', 4)])
        self.assertTrue(table.find('a').group.is_down(0))
        self.assertIs(table.find('a').group, table.find('b').group)
        table.take_groups([down])
        self.assertTrue(table.find('b').slow)
        table.take_groups([structs.replace(down, phase=GroupPhase.OPEN)])
        self.assertFalse(table.find('a').group.is_down(0))
