"""Guards against requests that are quarantined wrongly, too late or for good.

Entries count independently, their reports are lost, repeated and reordered, and
a report that goes round must not extend a quarantine.
"""

from __future__ import annotations

import random
import unittest

from snipebend.relay.crash_table import (
    MAX_REPORTED,
    MAX_SUSPECTS,
    SUSPECT_RETENTION_S,
    CrashTable,
)

LIMIT = 3
QUARANTINE_S = 600.0
SEEDS = 50


def make_table():
    """Return an empty table."""
    return CrashTable(LIMIT, QUARANTINE_S)


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
        self.assertFalse(table.record('f', 'a@1', 0))
        self.assertFalse(table.record('f', 'a@1', 1))
        self.assertFalse(table.record('f', 'a@2', 2))
        self.assertEqual(table.quarantine_left_s('f', 2), 0)
        self.assertTrue(table.record('f', 'b@1', 3))
        self.assertEqual(table.quarantine_left_s('f', 3), QUARANTINE_S)
        self.assertEqual(table.quarantine_left_s('g', 3), 0)

    def test_suspect_that_is_not_quarantined_expires(self):
        table = make_table()
        table.record('f', 'a@1', 0)
        table.record('f', 'b@1', 0)
        self.assertFalse(table.record('f', 'c@1', SUSPECT_RETENTION_S))
        self.assertEqual(table.crashes('f'), 1)

    def test_entries_agree_whatever_order_their_reports_have(self):
        for seed in range(SEEDS):
            rng = random.Random(seed)
            tables = [make_table() for _ in range(4)]
            for number in range(LIMIT):
                rng.choice(tables).record('f', f'i-{number}@1', number)
            exchange_reports(tables, rng)
            left = {one.quarantine_left_s('f', LIMIT) for one in tables}
            self.assertEqual(len(left), 1, f'seed {seed}')
            self.assertGreater(left.pop(), 0, f'seed {seed}')

    def test_reports_that_go_round_extend_nothing(self):
        one, other = make_table(), make_table()
        for number in range(LIMIT):
            one.record('f', f'i-{number}@1', 0)
        for now in range(1, 600):
            other.apply_report(one.make_report(now - 0.5), now)
            one.apply_report(other.make_report(now), now + 0.5)
        self.assertEqual(one.quarantine_left_s('f', QUARANTINE_S), 0)

    def test_report_names_the_most_dangerous_requests(self):
        table = make_table()
        for number in range(LIMIT):
            table.record('f', f'i-{number}@1', 0)
        for number in range(2 * MAX_REPORTED):
            table.record(f'harmless-{number}', 'i-9@1', 1)
        report = table.make_report(1)
        self.assertEqual(len(report), MAX_REPORTED)
        self.assertIn('f', report)

    def test_quarantined_request_is_kept_when_the_table_is_full(self):
        table = make_table()
        for number in range(LIMIT):
            table.record('f', f'i-{number}@1', 0)
        for number in range(MAX_SUSPECTS):
            table.record(f'harmless-{number}', 'i-9@1', 1)
        self.assertEqual(len(table), MAX_SUSPECTS)
        self.assertGreater(table.quarantine_left_s('f', 1), 0)


if __name__ == '__main__':
    unittest.main()
