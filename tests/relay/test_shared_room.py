"""Entries that know of the same free places must not all take them.

Each decides alone, by news that are late or lost.
"""

from __future__ import annotations

import random
import unittest

from snipebend.relay.entry_admission import EntryAdmission
from snipebend.relay.service_room import ServiceRoom
from snipebend.relay.upstream_selection import select_upstream
from snipebend.relay.upstream_views import CallRequirements
from snipebend.relay.upstreams import Upstream
from snipebend.state.roster import UpstreamRecord
from tests.relay.test_waiting_requests import NOW, make_waiter

FREE = 12
ROOM = ServiceRoom(FREE, 88, 100, FREE)
ROUNDS = 10


def count_starts(entries, waiting, rng, share_heard=1.0):
    """Return how many requests start before any entry hears of the others."""
    return sum(
        _start_all(entries - 1, waiting, rng, share_heard)
        for _ in range(entries)
    )


def _start_all(others, waiting, rng, share_heard):
    """Start requests of one entry, which knows of its own starts."""
    admission = EntryAdmission()
    for other in range(others):
        if rng.random() < share_heard:
            admission.others.apply(f'e{other}', {1: waiting})
    for own in range(waiting):
        admission.waiting.push(make_waiter(own), NOW)
    starts = 0
    while admission.may_claim(_room_after(starts), NOW, rng.random()):
        admission.start_next(NOW)
        starts += 1
    return starts


def _room_after(starts):
    free = max(0, FREE - starts)
    return ServiceRoom(free, 88 + starts, 100, free)


class TestSharedRoom(unittest.TestCase):
    """The starts of all entries before news arrive, for 1 to 300 of them."""

    def test_starts_of_all_entries_hardly_exceed_the_room(self):
        for entries in (1, 17, 300):
            rng = random.Random(entries)
            starts = [count_starts(entries, 2, rng) for _ in range(ROUNDS)]
            with self.subTest(entries=entries):
                self.assertLess(sum(starts) / ROUNDS, 1.4 * FREE)
                self.assertLess(max(starts), 2.5 * FREE)

    def test_lost_news_add_what_was_not_heard_of(self):
        rng = random.Random(1)
        starts = [count_starts(17, 2, rng, 0.5) for _ in range(ROUNDS)]
        self.assertLess(sum(starts) / ROUNDS, 2.5 * FREE)

    def test_entries_that_hear_nothing_use_the_room_each(self):
        self.assertEqual(count_starts(3, 20, random.Random(1), 0), 3 * FREE)

    def test_more_urgent_requests_elsewhere_go_first(self):
        admission = EntryAdmission()
        admission.waiting.push(make_waiter(1, 2), NOW)
        for other in range(FREE):
            admission.others.apply(f'e{other}', {0: 1})
        self.assertFalse(admission.may_claim(ROOM, NOW, 0))


class TestSampling(unittest.TestCase):
    """Entries that compare few upstreams don't all pick the same one."""

    def test_picks_spread_over_upstreams_with_a_slot(self):
        upstreams = [
            Upstream(UpstreamRecord(str(one), 's', '10.0.0.1:80', 'dc', 5))
            for one in range(20)
        ]
        for number, upstream in enumerate(upstreams):
            upstream.own_calls = 5 if number < 10 else 4
        upstreams[15].own_calls = 1
        picked = self.pick(upstreams, sample_share=0.25)
        self.assertGreaterEqual(len(picked), 8)
        self.assertTrue(all(int(identity) >= 10 for identity in picked))
        self.assertEqual(self.pick(upstreams, sample_share=0), {'15'})

    def test_spoken_against_only_if_there_is_no_other(self):
        slow, good = (
            Upstream(UpstreamRecord(name, 's', '10.0.0.1:80', 'dc', 5))
            for name in ('slow', 'good')
        )
        slow.slow = True
        good.own_calls = 4
        self.assertEqual(self.pick([slow, good], sample_share=0.5), {'good'})
        good.own_calls = 5
        self.assertEqual(self.pick([slow, good], sample_share=0.5), {'slow'})

    def pick(self, upstreams, sample_share):
        rng = random.Random(4)
        requirements = CallRequirements(
            'dc', needs_slot=True, sample_share=sample_share
        )
        return {
            select_upstream(upstreams, requirements, NOW, rng).record.identity
            for _ in range(60)
        }


if __name__ == '__main__':
    unittest.main()
