"""Who is called, who waits and who is refused at once, at one of many entries.

Entries that all take the same place overload an upstream; one that holds places
back while its callers wait, or refuses them while places are free, wastes them.
"""

from __future__ import annotations

import unittest

from snipebend.relay.entry_admission import (
    LATE_WAIT_S,
    EntryAdmission,
    Keep,
    Rates,
)
from snipebend.relay.outage_estimate import RESTART_S
from snipebend.relay.service_room import ServiceRoom
from snipebend.relay.upstream_selection import NoCapacity
from tests.relay.test_waiting_requests import NOW, make_waiter

FULL = ServiceRoom(free=0, calls=100, bound=100)
DOWN = ServiceRoom(is_down=True)
FORM_S = 0.6


def room_of(free):
    return ServiceRoom(free, 100 - free, 100, free)


def make_admission(*waiters, ends_per_s=0.0, hold_s=1.0):
    """Return the admission of an entry whose calls end at this rate."""
    admission = EntryAdmission()
    for waiter in waiters:
        admission.waiting.push(waiter, NOW)
    if ends_per_s:
        admission.record_end(hold_s, NOW)
    return admission


def judge(admission, waiter, room=FULL, own_calls=10, now=NOW):
    return admission.judge(waiter, Rates(room, own_calls, FORM_S), now)


class TestClaims(unittest.TestCase):
    """The room of all entries is divided by what waits at each."""

    def test_free_place_is_taken(self):
        admission = make_admission(make_waiter(1))
        self.assertTrue(admission.may_claim(room_of(1), NOW, 0.99))
        self.assertFalse(admission.may_claim(FULL, NOW, 0))

    def test_more_urgent_ones_elsewhere_go_first(self):
        admission = make_admission(make_waiter(1, 1))
        admission.others.apply('e2', {0: 2})
        self.assertFalse(admission.may_claim(room_of(2), NOW, 0))
        self.assertTrue(admission.may_claim(room_of(3), NOW, 0))
        admission.others.apply('e2', {})
        self.assertTrue(admission.may_claim(room_of(1), NOW, 0))

    def test_equal_ones_share_what_is_free(self):
        admission = make_admission(make_waiter(1), make_waiter(2))
        for entry in range(3):
            admission.others.apply(f'e{entry}', {1: 2})
        samples = [number / 100 for number in range(100)]
        taken = [admission.may_claim(room_of(1), NOW, one) for one in samples]
        self.assertAlmostEqual(sum(taken) / 100, 0.25, delta=0.02)

    def test_place_that_a_call_left_is_handed_on(self):
        admission = make_admission(make_waiter(1))
        admission.others.apply('e2', {1: 50})
        self.assertFalse(admission.may_claim(room_of(1), NOW, 0.5))
        handed_on = admission.may_claim(room_of(1), NOW, 0.5, handed_on=True)
        self.assertTrue(handed_on)

    def test_late_ones_leave_room_to_punctual_ones(self):
        admission = make_admission(make_waiter(1, 0, start_by=NOW - 1))
        admission.others.apply('e2', {2: 3})
        self.assertFalse(admission.may_claim(room_of(3), NOW, 0))
        self.assertTrue(admission.may_claim(room_of(4), NOW, 0))


class TestJudgements(unittest.TestCase):
    """Who can't be called in time is refused at once, with when to return."""

    def test_waits_while_its_turn_comes_in_time(self):
        waiter = make_waiter(1)
        admission = make_admission(waiter, ends_per_s=10)
        self.assertEqual(judge(admission, waiter), Keep(waiter.start_by))

    def test_refused_at_once_if_its_turn_comes_too_late(self):
        waiters = [make_waiter(number) for number in range(20)]
        admission = EntryAdmission()
        admission.record_end(1.0, NOW)
        for waiter in waiters:
            admission.ask(waiter, NOW)
        verdict = judge(admission, waiters[-1])
        self.assertIsInstance(verdict, NoCapacity)
        self.assertGreater(verdict.retry_after_s, 1)

    def test_less_urgent_ones_ahead_do_not_count(self):
        waiter = make_waiter(100, 0)
        others = [make_waiter(number, 2) for number in range(50)]
        admission = make_admission(waiter, *others, ends_per_s=10)
        self.assertIsInstance(judge(admission, waiter), Keep)

    def test_free_place_refuses_nobody(self):
        waiters = [make_waiter(number) for number in range(50)]
        admission = make_admission(*waiters, ends_per_s=10)
        for waiter in waiters:
            verdict = judge(admission, waiter, room_of(1))
            self.assertIsInstance(verdict, Keep)

    def test_late_one_waits_where_places_are_spare(self):
        late = make_waiter(1, start_by=NOW - 1)
        spare = make_admission(late, ends_per_s=10)
        self.assertEqual(judge(spare, late), Keep(NOW + LATE_WAIT_S))
        later = NOW + LATE_WAIT_S
        verdict = judge(spare, late, now=later)
        self.assertIsInstance(verdict, NoCapacity)

    def test_late_one_is_refused_where_none_is_spare(self):
        late = make_waiter(1, start_by=NOW - 1)
        admission = make_admission(late, ends_per_s=10)
        for number in range(2, 40):
            admission.ask(make_waiter(number), NOW)
        self.assertIsInstance(judge(admission, late), NoCapacity)

    def test_full_queue_refuses(self):
        waiter = make_waiter(1)
        admission = make_admission(waiter)
        rates = Rates(room_of(5), 1, is_full=True)
        verdict = admission.judge(waiter, rates, NOW)
        self.assertIsInstance(verdict, NoCapacity)


class TestOutages(unittest.TestCase):
    """A group that has stopped gets no calls until it is expected back."""

    def test_waits_if_the_group_is_expected_back_in_time(self):
        waiter = make_waiter(1)
        admission = make_admission(waiter)
        admission.outage.record(NOW - RESTART_S, is_down=True)
        self.assertIsInstance(judge(admission, waiter, DOWN), Keep)

    def test_is_refused_at_once_if_not(self):
        waiter = make_waiter(1)
        admission = make_admission(waiter)
        admission.outage.record(NOW, is_down=True)
        verdict = judge(admission, waiter, DOWN)
        self.assertIsInstance(verdict, NoCapacity)
        self.assertAlmostEqual(verdict.retry_after_s, RESTART_S + FORM_S)

    def test_expects_an_outage_as_long_as_the_last_one(self):
        admission = make_admission()
        for seen_at in (NOW - 20, NOW - 19, NOW - 18):
            admission.outage.record(seen_at, is_down=True)
        admission.outage.record(NOW - 17, is_down=False)
        admission.outage.record(NOW - 2.5, is_down=True)
        self.assertAlmostEqual(admission.outage.left_s(NOW, FORM_S), 0.5)
        self.assertAlmostEqual(admission.outage.left_s(NOW + 1.5, FORM_S), 4)

    def test_outage_whose_end_was_not_seen_tells_nothing(self):
        """While no requests arrive, nobody sees that upstreams are back."""
        admission = make_admission()
        admission.outage.record(NOW - 700, is_down=True)
        admission.outage.record(NOW - 699, is_down=True)
        admission.outage.record(NOW - 100, is_down=False)
        admission.outage.record(NOW, is_down=True)
        left_s = admission.outage.left_s(NOW, FORM_S)
        self.assertAlmostEqual(left_s, RESTART_S + FORM_S)


if __name__ == '__main__':
    unittest.main()
