"""Detects calls to other data centres without need, and callers that wait.

With a weight of distance, an entry prefers its own data centre while a slot is
free there. Demand of the data centres differs and crests at different times,
and entries know the calls of the others only from news that is up to 0.4 s old.
"""

from __future__ import annotations

import math
import unittest
from collections import deque
from random import Random
from typing import NamedTuple

from snipebend.relay.upstream_selection import select_upstream
from snipebend.relay.upstream_views import CallRequirements
from snipebend.relay.upstreams import Upstream
from snipebend.state.roster import UpstreamRecord

CENTERS = ('dc-a', 'dc-b', 'dc-c')
SLOTS = 5
WEIGHT = 2.0
#: Upstreams of each data centre.
UPSTREAMS = 7
#: Seconds between two moments of a day, duration of a call and of a day.
STEP_S = 0.005
CALL_S = 0.6
LENGTH_S = 20.0


def make_upstream(identity, data_center, **fields):
    record = UpstreamRecord(identity, 's', '10.0.0.1:80', data_center, SLOTS)
    return Upstream(record, **fields)


def select(candidates, weight=WEIGHT, data_center='dc-a', rng=None):
    requirements = CallRequirements(data_center, remote_weight=weight)
    chosen = select_upstream(candidates, requirements, 10.0, rng or Random(1))
    return chosen and chosen.record.identity


class TestWeight(unittest.TestCase):
    """The weight is a number of calls, and never makes a caller wait."""

    def test_near_until_it_has_the_weight_in_calls_more(self):
        far = make_upstream('far', 'dc-b', own_calls=1)
        for calls, expected in ((2, 'near'), (3, 'near'), (4, 'far')):
            near = make_upstream('near', 'dc-a', own_calls=calls)
            with self.subTest(calls=calls):
                self.assertEqual(select([near, far]), expected)

    def test_far_if_the_near_one_has_no_free_slot(self):
        near = make_upstream('near', 'dc-a', own_calls=SLOTS)
        far = make_upstream('far', 'dc-b', own_calls=SLOTS - 1)
        self.assertEqual(select([near, far]), 'far')

    def test_near_if_all_callers_have_to_wait(self):
        near = make_upstream('near', 'dc-a', own_calls=SLOTS + 1)
        far = make_upstream('far', 'dc-b', own_calls=SLOTS)
        self.assertEqual(select([near, far]), 'near')

    def test_without_a_weight_only_calls_count(self):
        near = make_upstream('near', 'dc-a', own_calls=SLOTS)
        far = make_upstream('far', 'dc-b', own_calls=SLOTS - 1)
        self.assertEqual(select([near, far], weight=0), 'far')
        near.own_calls = SLOTS + 2
        far.own_calls = SLOTS + 1
        self.assertEqual(select([near, far], weight=0), 'far')


class Outcome(NamedTuple):
    """Shares of the calls that leave their data centre, and that wait."""

    remote: float
    waiting: float


class Fleet:
    """Entries of three data centres with stale news of each other."""

    def __init__(self, weight, entries, news_age_s):
        self._rng = Random(1)
        self._weight = weight
        self._news_age_s = news_age_s
        self._entries = [
            (center, index)
            for center, number in zip(CENTERS, entries, strict=True)
            for index in range(number)
        ]
        self._tables = {entry: self._make_table() for entry in self._entries}
        self._ends = deque()
        self._news = deque()
        self._counts = [0, 0, 0]

    def run(self, load):
        """Play a day whose mean load is a share of all slots."""
        per_center = load * UPSTREAMS * SLOTS / CALL_S
        for step in range(int(LENGTH_S / STEP_S)):
            now = step * STEP_S
            self._end_calls(now)
            self._apply_news(now)
            for position, center in enumerate(CENTERS):
                wave = 1 + 0.3 * math.sin(now / 1.75 + 2.1 * position)
                if self._rng.random() < per_center * wave * STEP_S:
                    self._call(center, now)
        total, remote, waiting = self._counts
        return Outcome(remote / total, waiting / total)

    def _make_table(self):
        return {
            f'{center}-{index}': make_upstream(f'{center}-{index}', center)
            for center in CENTERS
            for index in range(UPSTREAMS)
        }

    def _call(self, center, now):
        entry = self._rng.choice(
            [one for one in self._entries if one[0] == center]
        )
        table = self._tables[entry]
        identity = select(table.values(), self._weight, center, self._rng)
        if identity is None:
            return
        true_calls = sum(
            one[identity].own_calls for one in self._tables.values()
        )
        self._counts[0] += 1
        self._counts[1] += not identity.startswith(center)
        self._counts[2] += true_calls >= SLOTS
        self._change(entry, identity, 1, now)
        self._ends.append((now + CALL_S, entry, identity))

    def _end_calls(self, now):
        while self._ends and self._ends[0][0] <= now:
            _, entry, identity = self._ends.popleft()
            self._change(entry, identity, -1, now)

    def _change(self, entry, identity, by, now):
        upstream = self._tables[entry][identity]
        upstream.own_calls += by
        self._news.append(
            (now + self._news_age_s, entry, identity, upstream.own_calls)
        )

    def _apply_news(self, now):
        while self._news and self._news[0][0] <= now:
            _, entry, identity, calls = self._news.popleft()
            for other, table in self._tables.items():
                if other != entry:
                    known = table[identity].other_entries_calls
                    known[str(entry)] = calls


class TestDataCentersOutOfPhase(unittest.TestCase):
    """Data centres help each other out at crests, and only then."""

    def test_fewer_calls_leave_their_data_center_and_few_wait(self):
        for news_age_s, most_waiting in ((0.025, 0.01), (0.4, 0.1)):
            with self.subTest(news_age_s=news_age_s):
                before = Fleet(0, (6, 8, 8), news_age_s).run(0.5)
                after = Fleet(WEIGHT, (6, 8, 8), news_age_s).run(0.5)
                self.assertLess(after.remote, 2 / 3 * before.remote)
                self.assertLess(after.waiting, before.waiting + most_waiting)

    def test_near_capacity_calls_spill_over_instead_of_waiting(self):
        before = Fleet(0, (6, 8, 8), 0.025).run(0.85)
        after = Fleet(WEIGHT, (6, 8, 8), 0.025).run(0.85)
        self.assertLess(after.waiting, before.waiting + 0.02)
        self.assertLess(after.remote, before.remote)


if __name__ == '__main__':
    unittest.main()
