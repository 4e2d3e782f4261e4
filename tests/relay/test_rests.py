"""Rests that upstreams ask for, under load on a simulated clock."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from snipebend.relay.choosing import Wish, choose, first_end_of_rest
from snipebend.relay.upstreams import Upstream, UpstreamTable
from snipebend.state.roster import RosterPhase, UpstreamRecord

SEEDS = range(50)
UPSTREAMS = 8
CALLS = 400
#: Mean seconds between two calls.
GAP_S = 0.02
#: Longest seconds from a call to its answer.
ANSWER_S = 0.3
LONGEST_REST_S = 3.0
#: Share of the calls that are refused, most with a rest.
REFUSED = 0.3
SLOTS = 4


def record(identity, phase=RosterPhase.READY):
    address = '10.0.0.1:80'
    return UpstreamRecord(identity, 's', address, 'dc-a', SLOTS, phase)


class Play:
    """Calls of one entry; answers come in any order."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.table = UpstreamTable()
        self.table.take(record(f'i-{number}') for number in range(UPSTREAMS))
        #: When each upstream's longest rest ends, as the play knows it.
        self.rests = {}
        #: Calls that began in a rest.
        self.unwanted = []
        self.answers = []

    def run(self):
        now = 0.0
        for _ in range(CALLS):
            now += self.rng.expovariate(1 / GAP_S)
            self.answers.sort()
            while self.answers and self.answers[0][0] <= now:
                self.answer(*self.answers.pop(0))
            self.call(now)
        return self

    def call(self, now):
        members = self.table.of_service('s')
        chosen = choose(members, Wish('dc-a'), now, self.rng)
        if chosen is None:
            return
        identity = chosen.record.identity
        if now < self.rests.get(identity, 0):
            self.unwanted.append((now, identity))
        chosen.own_calls += 1
        answered_at = now + self.rng.random() * ANSWER_S
        self.answers.append((answered_at, identity, self.rng.random()))

    def answer(self, now, identity, draw):
        upstream = self.table.find(identity)
        upstream.own_calls -= 1
        if draw >= REFUSED:
            upstream.note_answer(now - ANSWER_S)
            return
        rest_s = self.rng.choice((0, 0.1, LONGEST_REST_S))
        self.rests[identity] = max(self.rests.get(identity, 0), now + rest_s)
        upstream.note_rest(now + rest_s)
        # News of the same life change nothing of it.
        self.table.take([record(identity)])


class TestUnderLoad(unittest.TestCase):
    """No call begins in a rest."""

    def test_no_calls_in_a_rest(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                play = Play(seed).run()
                self.assertEqual(play.unwanted, [])
                self.assertGreater(len(play.rests), UPSTREAMS / 2)

    def test_planted_faults_are_found(self):
        def forget(self, begun_at):
            self.failures = 0
            self.rests_until = 0

        def shorten(self, until):
            self.rests_until = until

        for name, fault in (('note_answer', forget), ('note_rest', shorten)):
            with mock.patch.object(Upstream, name, fault):
                found = sum(len(Play(seed).run().unwanted) for seed in SEEDS)
            with self.subTest(fault=name):
                self.assertGreater(found, 0)


class TestFirstEnd(unittest.TestCase):
    """When callers may come back to a service that rests."""

    def test_the_first_of_all_that_may_serve(self):
        rests = [
            Upstream(record('a'), rests_until=12.0),
            Upstream(record('b'), rests_until=11.0),
            Upstream(record('c', RosterPhase.LEAVING), rests_until=10.5),
            Upstream(record('d'), rests_until=10.6, displaced=True),
        ]
        self.assertEqual(first_end_of_rest(rests, 10.0), 11.0)

    def test_none_where_one_is_open_or_none_rests(self):
        resting = Upstream(record('a'), rests_until=12.0)
        self.assertIsNone(
            first_end_of_rest([resting, Upstream(record('b'))], 10.0)
        )
        self.assertIsNone(first_end_of_rest([], 10.0))
        self.assertIsNone(first_end_of_rest([resting], 12.0))


if __name__ == '__main__':
    unittest.main()
