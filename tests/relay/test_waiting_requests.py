"""The order in which requests that wait at an entry are called.

A class that bursts or a workspace that floods must not shut out the others,
and no place may be spent on a late request that a punctual one needs.
"""

from __future__ import annotations

import unittest
from collections import Counter

from snipebend.relay.served_shares import MIN_SHARE
from snipebend.relay.waiter import Waiter
from snipebend.relay.waiting_requests import WaitingRequests

NOW = 100.0


def make_waiter(number, priority=1, workspace='w', **fields):
    made = Waiter(
        number,
        priority,
        workspace,
        work=1000,
        asked_at=NOW,
        start_by=NOW + 0.3,
        deadline=NOW + 8,
        latest_start=NOW + 6,
    )
    return made._replace(**fields)


def queue_of(*waiters):
    queue = WaitingRequests()
    for waiter in waiters:
        queue.push(waiter, NOW)
    return queue


def drain(queue, now=NOW):
    """Return the numbers of all requests in the order of their turns."""
    return [queue.pop(now).number for _ in range(len(queue))]


class TestWaitingRequests(unittest.TestCase):
    """Urgency, punctuality, work of workspaces, then the earliest deadline."""

    def test_more_urgent_ones_first(self):
        queue = queue_of(
            make_waiter(1, 2), make_waiter(2, 0), make_waiter(3, 1)
        )
        self.assertEqual(drain(queue), [2, 3, 1])

    def test_punctual_ones_before_late_ones_of_any_priority(self):
        queue = queue_of(make_waiter(1, 0, start_by=NOW - 1), make_waiter(2, 2))
        self.assertEqual(drain(queue), [2, 1])

    def test_waiting_ones_become_late(self):
        queue = queue_of(
            make_waiter(1, 0, start_by=NOW + 0.1), make_waiter(2, 2)
        )
        self.assertEqual(queue.punctual_counts(NOW), {0: 1, 2: 1})
        self.assertEqual(queue.punctual_counts(NOW + 0.2), {2: 1})
        self.assertEqual(drain(queue, NOW + 0.2), [2, 1])

    def test_earliest_deadline_within_a_workspace(self):
        late = NOW - 1
        queue = queue_of(
            make_waiter(1, start_by=NOW + 0.2),
            make_waiter(2, start_by=NOW + 0.1),
            make_waiter(3, start_by=late, deadline=NOW + 5),
            make_waiter(4, start_by=late, deadline=NOW + 3),
        )
        self.assertEqual(drain(queue), [2, 1, 4, 3])

    def test_continued_and_returned_ones_before_new_ones(self):
        late = NOW - 1
        queue = queue_of(
            make_waiter(1, start_by=late, deadline=NOW + 1),
            make_waiter(2, start_by=late, has_returned=True),
            make_waiter(3, start_by=late, is_continued=True),
        )
        self.assertEqual(drain(queue), [3, 2, 1])

    def test_flooding_workspace_gets_its_part_only(self):
        flood = [make_waiter(number, workspace='f') for number in range(90)]
        others = [
            make_waiter(100 + number, workspace=f'w{number % 2}')
            for number in range(20)
        ]
        order = drain(queue_of(*flood, *others))
        served = Counter('f' if one < 100 else 'o' for one in order[:30])
        self.assertEqual(served, {'f': 10, 'o': 20})

    def test_workspaces_share_by_work(self):
        queue = queue_of(
            *(make_waiter(one, workspace='a', work=4000) for one in range(9)),
            *(make_waiter(20 + one, workspace='b') for one in range(40)),
        )
        served = Counter(one < 20 for one in drain(queue)[:25])
        self.assertEqual(served, {True: 5, False: 20})

    def test_less_urgent_ones_are_not_shut_out(self):
        queue = WaitingRequests()
        numbers = iter(range(10_000))
        served = Counter()
        for _ in range(400):
            for priority in (0, 0, 0, 1, 2):
                queue.shares.record_asked(priority)
                queue.push(make_waiter(next(numbers), priority), NOW)
            for _ in range(2):
                waiter = queue.pop(NOW)
                queue.shares.record_served(waiter.priority)
                served[waiter.priority] += 1
        overall = 800 / 2000
        self.assertGreater(served[2] / 400, 0.9 * MIN_SHARE * overall)
        self.assertGreater(served[0] / 1200, served[2] / 400)

    def test_removed_ones_get_no_turn(self):
        queue = queue_of(make_waiter(1), make_waiter(2), make_waiter(3))
        self.assertEqual(queue.remove(1).number, 1)
        self.assertIsNone(queue.remove(1))
        self.assertEqual(len(queue), 2)
        self.assertEqual(queue.counts(), {1: 2})
        self.assertEqual(drain(queue), [2, 3])


if __name__ == '__main__':
    unittest.main()
