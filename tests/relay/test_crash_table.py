"""Guards against requests that are quarantined wrongly, too late or for good.

Entries count independently, their reports are lost, repeated and reordered, and
a report that goes round must not extend a quarantine.
"""

from __future__ import annotations

import random
import unittest
from itertools import count

from snipebend.relay.causes import RequestCauses
from snipebend.relay.crash_report import CrashReport, UpstreamEnd
from snipebend.relay.crash_store import (
    MAX_REPORTED,
    MAX_SERVED,
    MAX_SUSPECTS,
    SUSPECT_RETENTION_S,
)
from snipebend.relay.crash_table import CrashTable
from snipebend.relay.crash_trials import MAX_FAILED_TRIALS

LIMIT = 3
QUARANTINE_S = 600.0
SEEDS = 50
#: Entries that exchange reports.
ENTRIES = 4


def make_table():
    """Return an empty table."""
    return CrashTable(LIMIT, QUARANTINE_S)


def record(table, fingerprint, incarnation, now, parts=(), **fields):
    """Record an end under a call that began just before."""
    causes = RequestCauses(fingerprint, parts)
    end = UpstreamEnd(now, now, **fields)
    return table.record_end(causes, incarnation, end)


def left_s(table, fingerprint, now, parts=()):
    """Return seconds until the end of a request's quarantine, or 0."""
    found = table.find_quarantine(RequestCauses(fingerprint, parts), now)
    return found.left_s if found else 0


def end_under_parts(table, parts, times, **fields):
    """Record ends under unlike requests with these parts; return the last."""
    found = frozenset()
    for now in times:
        incarnation = f'i-{now}@{parts[-1]}'
        found = record(table, f'r{now}', incarnation, now, parts, **fields)
    return found


def exchange_reports(tables, rng):
    """Apply the reports of all tables to each, each time in another order."""
    reports = [one.make_report(LIMIT) for one in tables]
    for table in tables:
        rng.shuffle(reports)
        for report in reports:
            table.apply_report(report, LIMIT)


class TestCrashTable(unittest.TestCase):
    """Three different ends quarantine a request at every entry."""

    def test_quarantined_by_the_third_end(self):
        table = make_table()
        self.assertFalse(record(table, 'f', 'a@1', 0))
        self.assertFalse(record(table, 'f', 'a@1', 1))
        self.assertFalse(record(table, 'f', 'a@2', 2))
        self.assertEqual(left_s(table, 'f', 2), 0)
        self.assertEqual(record(table, 'f', 'b@1', 3), {'f'})
        self.assertEqual(left_s(table, 'f', 3), QUARANTINE_S)
        self.assertEqual(left_s(table, 'g', 3), 0)

    def test_suspect_that_is_not_quarantined_expires(self):
        table = make_table()
        record(table, 'f', 'a@1', 0)
        record(table, 'f', 'b@1', 0)
        self.assertFalse(record(table, 'f', 'c@1', SUSPECT_RETENTION_S))
        self.assertEqual(table.crashes('f'), 1)

    def test_entries_agree_whatever_order_their_reports_have(self):
        for seed in range(SEEDS):
            rng = random.Random(seed)
            tables = [make_table() for _ in range(ENTRIES)]
            for number in range(LIMIT):
                record(rng.choice(tables), 'f', f'i-{number}@1', number)
            exchange_reports(tables, rng)
            left = {left_s(one, 'f', LIMIT) for one in tables}
            self.assertEqual(len(left), 1, f'seed {seed}')
            self.assertGreater(left.pop(), 0, f'seed {seed}')

    def test_reports_that_go_round_extend_nothing(self):
        one, other = make_table(), make_table()
        for number in range(LIMIT):
            record(one, 'f', f'i-{number}@1', 0)
        for now in range(1, 600):
            other.apply_report(one.make_report(now - 0.5), now)
            one.apply_report(other.make_report(now), now + 0.5)
        self.assertEqual(left_s(one, 'f', QUARANTINE_S), 0)

    def test_reports_leave_out_no_suspect(self):
        sender, receiver = make_table(), make_table()
        for number in range(LIMIT):
            record(sender, 'f', f'i-{number}@1', 0)
        for number in range(3 * MAX_REPORTED):
            record(sender, f'harmless-{number}', 'i-9@1', 1)
        report = sender.make_report(1)
        self.assertEqual(len(report), MAX_REPORTED)
        self.assertIn('f', report)
        while sender.has_news:
            receiver.apply_report(sender.make_report(1), 1)
        self.assertEqual(len(sender.make_report(1)), MAX_REPORTED)
        receiver.apply_report(report, 1)
        self.assertEqual(len(receiver), len(sender))

    def test_entry_that_starts_soon_knows_many_quarantined_parts(self):
        sender, started = make_table(), make_table()
        parts = [f'bad-{number}' for number in range(2 * MAX_REPORTED)]
        for part in parts:
            end_under_parts(sender, (part,), range(LIMIT))
        while sender.has_news:
            sender.make_report(LIMIT)
        for number in range(len(parts) // LIMIT):
            started.apply_report(sender.make_report(LIMIT + number), LIMIT)
        quarantined = [left_s(started, 'f', LIMIT, (one,)) for one in parts]
        self.assertGreater(min(quarantined), 0)

    def test_quarantined_request_is_kept_when_the_table_is_full(self):
        table = make_table()
        for number in range(LIMIT):
            record(table, 'f', f'i-{number}@1', 0)
        for number in range(MAX_SUSPECTS):
            record(table, f'harmless-{number}', 'i-9@1', 1)
        self.assertEqual(len(table), MAX_SUSPECTS)
        self.assertGreater(left_s(table, 'f', 1), 0)

    def test_report_of_an_earlier_version(self):
        table = make_table()
        report = {'f': CrashReport(('a@1', 'b@1', 'c@1'), 1.0)}
        self.assertEqual(table.apply_report(report, 10), {'f'})
        self.assertEqual(left_s(table, 'f', 10), QUARANTINE_S - 1)


class TestCrashingParts(unittest.TestCase):
    """A part is quarantined, and sound ones beside it are not."""

    def test_quarantined_by_the_third_end_under_unlike_requests(self):
        table = make_table()
        self.assertFalse(end_under_parts(table, ('a', 'bad'), (0, 1)))
        table.record_survival(RequestCauses('r', ('a',)), 1.5)
        found = end_under_parts(table, ('a', 'bad'), (2,))
        self.assertEqual(found, {'part:bad'})
        self.assertEqual(left_s(table, 'new', 2, ('bad',)), QUARANTINE_S)
        self.assertEqual(left_s(table, 'new', 2, ('a', 'b')), 0)

    def test_one_request_that_ends_upstreams_blames_no_part(self):
        table = make_table()
        for now in range(2 * LIMIT):
            record(table, 'f', f'i-{now}@1', now, ('a',))
        self.assertEqual(table.quarantined, {'f'})

    def test_response_that_was_completed_clears_a_part(self):
        table = make_table()
        for now in range(0, 30, 2):
            end_under_parts(table, ('a',), (now,))
            table.record_survival(RequestCauses('sound', ('a',)), now + 1)
        self.assertFalse(table.quarantined)

    def test_responses_in_progress_spare_what_comes_with_the_cause(self):
        table = make_table()
        end_under_parts(table, ('a', 'bad'), (0, 1))
        table.apply_report({}, 1)
        end_under_parts(table, ('a', 'bad'), (2,))
        self.assertEqual(table.quarantined, {'part:a', 'part:bad'})
        table = make_table()
        end_under_parts(table, ('a', 'bad'), (0, 1, 2))
        other = make_table()
        end_under_parts(other, ('a', 'bad'), (0, 1))
        other.record_activity(RequestCauses('sound', ('a',)), 3)
        other.apply_report(table.make_report(2.5), 2.6)
        self.assertEqual(other.quarantined, {'part:bad'})

    def test_cleared_part_delays_no_retry_and_is_soon_dropped(self):
        table = make_table()
        causes = RequestCauses('sound', ('a',))
        end_under_parts(table, ('a',), (1, 2))
        self.assertTrue(table.may_reach_limit(causes, 1))
        table.record_survival(causes, 3)
        end_under_parts(table, ('a',), (4,))
        table.record_survival(causes, 5)
        self.assertFalse(table.may_reach_limit(causes, 1))
        table.make_report(4 + SUSPECT_RETENTION_S)
        self.assertEqual(table.crashes('part:a'), 0)

    def test_upstreams_that_fail_together_count_once(self):
        table = make_table()
        for number in range(14):
            causes = RequestCauses(f'r{number}', ('a',))
            end = UpstreamEnd(number / 10, 10, responding=True)
            table.record_end(causes, f'i-{number}@1', end)
        self.assertFalse(table.quarantined)

    def test_ends_with_a_known_cause_blame_nothing_else(self):
        table = make_table()
        end_under_parts(table, ('bad',), range(LIMIT))
        end_under_parts(table, ('bad', 'a'), range(LIMIT, 3 * LIMIT))
        self.assertEqual(table.quarantined, {'part:bad'})

    def test_part_that_was_served_is_tried_again(self):
        table = make_table()
        sound = RequestCauses('sound', ('a',))
        table.record_survival(sound, 0)
        for now in range(1, 6):
            end_under_parts(table, ('a', f'bad-{now}'), (now,))
        self.assertEqual(table.quarantined, {'part:a'})
        self.assertGreater(left_s(table, 'new', 6, ('a',)), 0)
        self.assertGreater(left_s(table, 'new', 12, ('a', 'bad-1')), 0)
        self.assertEqual(left_s(table, 'new', 12, ('a',)), 0)
        self.assertGreater(left_s(table, 'next', 12, ('a',)), 0)
        table.record_survival(sound, 14)
        self.assertFalse(table.quarantined)

    def test_trials_are_few(self):
        table = make_table()
        table.record_survival(RequestCauses('sound', ('a',)), 0)
        end_under_parts(table, ('a',), range(1, 6))
        trials = 0
        for now in range(6, 300):
            if not left_s(table, f'r{now}', now, ('a',)):
                trials += 1
                record(table, f'r{now}', f'i-{now}@1', now, ('a',))
        self.assertEqual(trials, MAX_FAILED_TRIALS)

    def test_served_parts_are_bounded(self):
        table = make_table()
        numbers = count()
        for _ in range(2 * MAX_SERVED):
            part = f'part:{next(numbers)}'
            table.record_served((part,), 1.0)
        self.assertEqual(len(table), 0)
        self.assertEqual(len(table._store._served_at), MAX_SERVED)


if __name__ == '__main__':
    unittest.main()
