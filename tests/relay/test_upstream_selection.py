"""Guards against calls to upstreams that are busy, unavailable or slow.

An entry knows the load and state of upstreams from reports of others, which
arrive late or out of order. In a group that runs in lock-step, one lost or slow
rank affects the calls of all ranks, also of those that are idle.
"""

from __future__ import annotations

import unittest
from random import Random

from msgspec import structs

from snipebend.relay.upstream_groups import (
    LOST_RANK_AVOIDANCE_S,
    PASS_TIME_MAX_AGE_S,
    UpstreamGroup,
)
from snipebend.relay.upstream_selection import select_upstream
from snipebend.relay.upstream_views import CallRequirements
from snipebend.relay.upstreams import (
    INITIAL_PAUSE_S,
    MAX_PAUSE_S,
    Upstream,
    UpstreamTable,
)
from snipebend.state.host_updates import GroupPhase, UpstreamGroupStatus
from snipebend.state.roster import RosterPhase, UpstreamRecord

REQUIREMENTS = CallRequirements('dc-a')


def make_upstream(identity, data_center='dc-a', **fields):
    record = UpstreamRecord(identity, 's', '10.0.0.1:80', data_center, 4)
    return Upstream(record, **fields)


class TestSelectUpstream(unittest.TestCase):
    """Prefers the least loaded upstream, then one in the same data centre."""

    def select(self, *candidates, requirements=REQUIREMENTS, now=10.0):
        chosen = select_upstream(candidates, requirements, now, Random(1))
        return chosen and chosen.record.identity

    def test_least_calls_of_all_entries(self):
        busy = make_upstream('busy', own_calls=1, other_entries_calls={'e2': 2})
        self.assertEqual(
            self.select(busy, make_upstream('b', own_calls=2)), 'b'
        )

    def test_same_data_center_among_equals(self):
        far = make_upstream('far', 'dc-b')
        self.assertEqual(self.select(far, make_upstream('near')), 'near')
        near = make_upstream('near', own_calls=1)
        self.assertEqual(self.select(far, near), 'far')

    def test_unavailable_upstreams_are_skipped(self):
        leaving = UpstreamRecord(
            'l', 's', '10.0.0.1:80', 'dc-a', 4, RosterPhase.LEAVING
        )
        closed = (
            Upstream(leaving),
            make_upstream('paused', paused_until=11.0),
            make_upstream('resting', backoff_until=11.0),
            make_upstream('said it leaves', leaving=True),
            make_upstream('displaced', displaced=True),
            make_upstream('full', own_calls=8),
        )
        self.assertIsNone(self.select(*closed))
        self.assertEqual(self.select(*closed, make_upstream('open')), 'open')

    def test_upstreams_of_evacuated_data_centers_are_skipped(self):
        requirements = REQUIREMENTS._replace(evacuated=('dc-a',))
        near, far = make_upstream('near'), make_upstream('far', 'dc-b')
        self.assertEqual(
            self.select(near, far, requirements=requirements), 'far'
        )
        self.assertIsNone(self.select(near, requirements=requirements))

    def test_tried_upstreams_are_skipped(self):
        requirements = REQUIREMENTS._replace(tried=('a',))
        self.assertIsNone(
            self.select(make_upstream('a'), requirements=requirements)
        )

    def test_slow_ranks_get_nothing_while_their_group_has_others(self):
        """One request would delay the streams of all other ranks."""
        group = UpstreamGroup('g', has_slow_rank=True, spares_slow_ranks=True)
        slow = make_upstream('slow', slow=True, group=group)
        full = make_upstream('full', own_calls=100, group=group)
        self.assertIsNone(self.select(slow, full))
        paused = make_upstream('paused', group=group, paused_until=11.0)
        self.assertEqual(self.select(slow, paused), 'slow')

    def test_slow_ranks_serve_if_only_another_group_has_others(self):
        group = UpstreamGroup('g', has_slow_rank=True, spares_slow_ranks=True)
        slow = make_upstream('slow', slow=True, group=group)
        full = make_upstream('full', own_calls=100, group=UpstreamGroup('h'))
        self.assertEqual(self.select(slow, full), 'slow')

    def test_only_a_few_slow_ranks_are_spared(self):
        members = ('a', 'b', 'c')
        for slow, is_spared in ((), False), (('a',), True), (('a', 'b'), False):
            group = UpstreamGroup('g')
            group.apply_status(
                UpstreamGroupStatus('g', 's', GroupPhase.OPEN, members, slow)
            )
            with self.subTest(slow=slow):
                self.assertEqual(group.spares_slow_ranks, is_spared)

    def test_slow_upstreams_come_last(self):
        slow = make_upstream('slow', slow=True)
        busy = make_upstream('busy', own_calls=3)
        self.assertEqual(self.select(slow, busy), 'busy')
        full = make_upstream('full', own_calls=8)
        self.assertEqual(self.select(slow, full), 'slow')

    def test_group_that_is_down_comes_last(self):
        group = UpstreamGroup('g')
        down = make_upstream('down', group=group)
        group.record_lost_rank(10.0)
        busy = make_upstream('busy', own_calls=3)
        self.assertEqual(self.select(down, busy), 'busy')
        self.assertEqual(self.select(down), 'down')
        self.assertEqual(
            self.select(down, busy, now=10.0 + LOST_RANK_AVOIDANCE_S), 'down'
        )

    def test_group_that_makes_every_stream_late_comes_last(self):
        """With a slow rank, all ranks of the group wait for it in each pass."""
        slow_group = UpstreamGroup('g', has_slow_rank=True)
        other = UpstreamGroup('h')
        for at in range(20):
            slow_group.record_passes(1, 0.4, 10.0 + 0.4 * at)
            other.record_passes(5, 0.3, 10.0 + 0.4 * at)
        idle = make_upstream('idle', group=slow_group)
        busy = make_upstream('busy', group=other, own_calls=7)
        requirements = REQUIREMENTS._replace(allowed_pause_s=0.12)
        now = 18.0
        self.assertEqual(
            self.select(idle, busy, requirements=requirements, now=now), 'busy'
        )
        self.assertEqual(self.select(idle, busy, now=now), 'idle')
        full = make_upstream('full', group=other, own_calls=8)
        self.assertEqual(
            self.select(idle, full, requirements=requirements, now=now), 'idle'
        )
        # The pass time of an unused group is unknown: one call probes it.
        later = now + PASS_TIME_MAX_AGE_S
        self.assertEqual(
            self.select(idle, busy, requirements=requirements, now=later),
            'idle',
        )
        slow_group.record_probe(later)
        later += PASS_TIME_MAX_AGE_S / 2
        self.assertEqual(
            self.select(idle, busy, requirements=requirements, now=later),
            'busy',
        )
        slow_group.record_passes(1, 0.06, later)
        self.assertEqual(
            self.select(idle, busy, requirements=requirements, now=later),
            'idle',
        )
        slow_group.has_slow_rank = False
        self.assertEqual(
            self.select(idle, busy, requirements=requirements, now=now), 'idle'
        )

    def test_equals_share_the_load(self):
        rng = Random(3)
        upstreams = [make_upstream(str(number)) for number in range(4)]
        selected = {
            select_upstream(upstreams, REQUIREMENTS, 0, rng).record.identity
            for _ in range(60)
        }
        self.assertEqual(len(selected), 4)


class TestUpstreams(unittest.TestCase):
    """The state of each upstream at an entry."""

    def test_pauses_grow_and_a_response_ends_them(self):
        upstream = make_upstream('a')
        upstream.record_failure(5.0)
        self.assertFalse(upstream.is_open(5.0 + INITIAL_PAUSE_S / 2))
        self.assertTrue(upstream.is_open(5.0 + INITIAL_PAUSE_S))
        for _ in range(20):
            upstream.record_failure(5.0)
        self.assertEqual(upstream.paused_until, 5.0 + MAX_PAUSE_S)
        upstream.record_response(14.0)
        self.assertTrue(upstream.is_open(5.0))

    def test_ended_upstreams_are_removed(self):
        table = UpstreamTable()
        ready = UpstreamRecord('a', 's', '10.0.0.1:80', 'dc-a', 4)
        table.apply_records([ready])
        ended = UpstreamRecord(
            'a', 's', '10.0.0.1:80', 'dc-a', 4, RosterPhase.ENDED
        )
        self.assertEqual(len(table.apply_records([ended])), 1)
        self.assertEqual(table.list_service('s'), ())
        self.assertEqual(table.apply_records([ended]), [])

    def test_outdated_record_is_ignored(self):
        table = UpstreamTable()
        leaving = UpstreamRecord(
            'a', 's', '10.0.0.1:80', 'dc-a', 4, RosterPhase.LEAVING
        )
        table.apply_records([leaving])
        table.apply_records(
            [UpstreamRecord('a', 's', '10.0.0.1:80', 'dc-a', 4)]
        )
        self.assertFalse(table.find('a').is_open(0))

    def test_calls_of_other_entries_are_replaced(self):
        table = UpstreamTable()
        table.apply_records(
            [UpstreamRecord('a', 's', '10.0.0.1:80', 'dc-a', 4)]
        )
        table.apply_calls('e2', {'a': 3, 'unknown': 1})
        self.assertEqual(table.find('a').calls, 3)
        table.apply_calls('e2', {})
        self.assertEqual(table.find('a').calls, 0)

    def test_group_status(self):
        """The status also applies to a rank whose record arrives later."""
        table = UpstreamTable()
        down = UpstreamGroupStatus(
            'g', 's', GroupPhase.DOWN, ('a', 'b'), ('b',)
        )
        table.apply_records(
            [UpstreamRecord('a', 's', '10.0.0.1:80', 'dc-a', 4)]
        )
        table.apply_group_statuses([down])
        table.apply_records(
            [UpstreamRecord('b', 's', '10.0.0.2:80', 'dc-a', 4)]
        )
        self.assertTrue(table.find('a').group.is_down(0))
        self.assertIs(table.find('a').group, table.find('b').group)
        table.apply_group_statuses([down])
        self.assertTrue(table.find('b').slow)
        table.apply_group_statuses(
            [structs.replace(down, phase=GroupPhase.OPEN)]
        )
        self.assertFalse(table.find('a').group.is_down(0))
