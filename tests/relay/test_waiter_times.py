"""By when a request must be called, from what its caller states.

Taken for late, a request waits behind all others; taken for punctual, a late
one takes the place of one that its caller could still use.
"""

from __future__ import annotations

import unittest

from snipebend.hosts.model import HostRoute, RequestKind, TrafficSplit
from snipebend.relay.admission import Admitted
from snipebend.relay.facts import CallerFacts
from snipebend.relay.waiter_times import (
    MAX_RESPONSE_SHARE,
    ServiceTimes,
    make_waiter,
)

NOW = 50.0
TARGET_S = 0.4


def admit(timeout_s=8.0, priority=1, kind=RequestKind.STREAM, **fields):
    route = HostRoute(
        'r', 'h', '/', kind, 8.0, TARGET_S, 1, (TrafficSplit('s', 1),), 2
    )._replace(**fields)
    facts = CallerFacts(prompt_tokens=700, answer_tokens=100)
    deadline = NOW + timeout_s
    return Admitted(facts, route, 's', 'w', priority, NOW, deadline)


def make_times(first_event_s, hold_s=0.0):
    times = ServiceTimes()
    times.record_first_event(first_event_s)
    times.record_hold(hold_s)
    return times


def waiter_of(admitted, times=None, *, continued=False, has_events=False):
    return make_waiter(
        admitted,
        1,
        times or make_times(0.1, 1.5),
        NOW,
        is_continued=continued,
        has_events=has_events,
    )


class TestMakeWaiter(unittest.TestCase):
    """The target counts from the caller's first attempt."""

    def test_first_event_is_due_at_the_target(self):
        waiter = waiter_of(admit())
        self.assertAlmostEqual(waiter.start_by, NOW + 0.3)
        self.assertAlmostEqual(waiter.latest_start, NOW + 6.5)
        self.assertEqual(waiter.work, 800)
        self.assertFalse(waiter.has_returned)

    def test_response_is_due_at_the_target(self):
        admitted = admit(kind=RequestKind.SAFE)
        waiter = waiter_of(admitted, make_times(0, 0.06))
        self.assertAlmostEqual(waiter.start_by, NOW + 0.34)

    def test_long_waits_at_upstreams_make_nothing_late(self):
        waiter = waiter_of(admit(), make_times(3.0, 1.5))
        slack_s = (1 - MAX_RESPONSE_SHARE) * TARGET_S
        self.assertAlmostEqual(waiter.start_by, NOW + slack_s)

    def test_new_caller_may_state_a_little_less_than_its_route(self):
        waiter = waiter_of(admit(6.9))
        self.assertAlmostEqual(waiter.start_by, NOW + 0.3)
        self.assertFalse(waiter.has_returned)

    def test_returning_caller_is_late(self):
        waiter = waiter_of(admit(5.5))
        self.assertLess(waiter.start_by, NOW)
        self.assertTrue(waiter.has_returned)

    def test_resumed_stream_is_on_time(self):
        waiter = waiter_of(admit(5.5), continued=True, has_events=True)
        self.assertEqual(waiter.start_by, waiter.latest_start)
        self.assertTrue(waiter.is_continued)

    def test_without_a_target_only_the_deadline_counts(self):
        waiter = waiter_of(admit(target_s=0))
        self.assertEqual(waiter.start_by, waiter.latest_start)

    def test_route_orders_requests_of_one_priority(self):
        ranks = [
            waiter_of(admit(priority=priority)._replace()).priority
            for priority in (0, 1)
        ]
        notes = waiter_of(
            admit(priority=0)._replace(route=admit().route._replace(priority=2))
        )
        self.assertLess(ranks[0], notes.priority)
        self.assertLess(notes.priority, ranks[1])


class TestServiceTimes(unittest.TestCase):
    """Calls that waited at their upstreams hardly count."""

    def test_falls_faster_than_it_rises(self):
        times = make_times(0.1)
        for _ in range(5):
            times.record_first_event(0.5)
        self.assertLess(times.first_event_s, 0.15)
        for _ in range(20):
            times.record_first_event(0.05)
        self.assertLess(times.first_event_s, 0.07)


if __name__ == '__main__':
    unittest.main()
