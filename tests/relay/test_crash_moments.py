"""Guards against parts that are blamed for failures of many upstreams."""

from __future__ import annotations

import unittest

from snipebend.hashing.part_keys import is_part_key
from snipebend.relay.causes import RequestCauses
from snipebend.relay.crash_moments import KnownEnds
from snipebend.relay.crash_report import UpstreamEnd
from snipebend.relay.crash_suspect import SEPARATION_S, CrashSuspect
from snipebend.relay.crash_table import CrashTable

LIMIT = 3
QUARANTINE_S = 600.0
UPSTREAMS = 14
#: Times of two failures of all upstreams.
FAILURES = (8.0, 14.0)


def fail_all(table, at, rare_on):
    """End all upstreams, some of them under a part that was never served.

    Each of the others runs a request with a part of its own.
    """
    for number in range(UPSTREAMS):
        part = 'rare' if number < rare_on else f'other-{number}-{at}'
        causes = RequestCauses(f'r{number}-{at}', (part,))
        end = UpstreamEnd(at - 0.1, at)
        table.record_end(causes, f'u{number}@{at}', end)


def quarantined_parts(table):
    """Return the quarantined parts."""
    return {key for key in table.quarantined if is_part_key(key)}


def make_suspect(ended_at):
    """Return a suspect with ends at these times, by incarnation."""
    suspect = CrashSuspect()
    for incarnation, at in ended_at.items():
        suspect.record_end(incarnation, UpstreamEnd(at, at), ('f',))
    return suspect


class TestCommonFailures(unittest.TestCase):
    """A failure of many upstreams counts once for what few of them ran."""

    def test_parts_survive_two_failures_of_all(self):
        table = CrashTable(LIMIT, QUARANTINE_S)
        for at in FAILURES:
            fail_all(table, at, rare_on=2)
        self.assertEqual(quarantined_parts(table), set())

    def test_third_failure_is_one_too_many(self):
        table = CrashTable(LIMIT, QUARANTINE_S)
        for at in (*FAILURES, 20.0):
            fail_all(table, at, rare_on=2)
        self.assertEqual(len(quarantined_parts(table)), 1)

    def test_failures_known_from_reports(self):
        sender = CrashTable(LIMIT, QUARANTINE_S)
        receiver = CrashTable(LIMIT, QUARANTINE_S)
        for at in FAILURES:
            fail_all(sender, at, rare_on=2)
            while sender.has_news:
                receiver.apply_report(sender.make_report(at), at + 0.05)
        self.assertEqual(quarantined_parts(receiver), set())

    def test_part_that_ends_most_of_them_counts_each_time(self):
        table = CrashTable(LIMIT, QUARANTINE_S)
        fail_all(table, FAILURES[0], rare_on=UPSTREAMS // 2)
        self.assertEqual(len(quarantined_parts(table)), 1)


class TestKnownEnds(unittest.TestCase):
    """Most upstreams of a moment are more than twice those of a suspect."""

    def setUp(self):
        self.own = make_suspect({'a': 5.0, 'b': 5.0 + SEPARATION_S / 2})
        self.ends = self.own.list_ends(())

    def is_common(self, others, explained=()):
        suspects = (self.own, make_suspect(others))
        known = KnownEnds(suspects, explained)
        return known.is_common_failure(self.ends[0], self.ends)

    def test_as_many_others_are_no_common_failure(self):
        self.assertFalse(self.is_common({'c': 5, 'd': 5}))
        self.assertTrue(self.is_common({'c': 5, 'd': 5, 'e': 5}))

    def test_other_moments_do_not_count(self):
        later = 5 + 2 * SEPARATION_S
        self.assertFalse(self.is_common({'c': 5, 'd': 5, 'e': later}))

    def test_explained_ends_do_not_count(self):
        others = {'c': 5, 'd': 5, 'e': 5}
        self.assertFalse(self.is_common(others, {'e'}))


if __name__ == '__main__':
    unittest.main()
