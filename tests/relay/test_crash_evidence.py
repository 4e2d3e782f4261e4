"""Guards against counting an end that has nothing to do with a broken call.

A connection may break while its upstream goes on, an address is used again by
the next incarnation, and evidence arrives before or after the break.
"""

from __future__ import annotations

import unittest

from snipebend.relay.causes import RequestCauses
from snipebend.relay.crash_evidence import (
    EVIDENCE_WINDOW_S,
    BrokenCall,
    CrashEvidence,
)

ADDRESS = '10.0.0.1:80'


INCARNATION = 'i-1@0'


def broken_call(fingerprint='f', started_at=1.0, broken_at=2.0):
    """Return a call that broke at the address."""
    causes = RequestCauses(fingerprint)
    return BrokenCall(ADDRESS, INCARNATION, causes, 0, started_at, broken_at)


class TestCrashEvidence(unittest.TestCase):
    """A broken call counts once, with evidence close to it in time."""

    def test_evidence_after_the_break(self):
        evidence = CrashEvidence()
        calls = [broken_call('a'), broken_call('b')]
        for call in calls:
            self.assertFalse(evidence.record_broken_call(call))
        self.assertEqual(evidence.record_end('10.0.0.2:80', 3), [])
        self.assertEqual(evidence.record_end(ADDRESS, 3), calls)
        self.assertEqual(evidence.record_end(ADDRESS, 4), [])

    def test_evidence_before_the_break(self):
        evidence = CrashEvidence()
        evidence.record_end(ADDRESS, 1.5)
        self.assertTrue(evidence.record_broken_call(broken_call()))

    def test_call_of_the_next_incarnation(self):
        evidence = CrashEvidence()
        evidence.record_end(ADDRESS, 0.5)
        self.assertFalse(evidence.record_broken_call(broken_call()))

    def test_late_evidence_does_not_count(self):
        evidence = CrashEvidence()
        evidence.record_broken_call(broken_call())
        ended = evidence.record_end(ADDRESS, 2 + EVIDENCE_WINDOW_S)
        self.assertEqual(ended, [])

    def test_call_that_its_upstream_outlived_does_not_count(self):
        evidence = CrashEvidence()
        cut_off, later = broken_call('a'), broken_call('b', 4, 5)
        evidence.record_broken_call(cut_off)
        evidence.record_broken_call(later)
        outlived = evidence.record_response(ADDRESS, INCARNATION, 3)
        self.assertEqual(outlived, [cut_off])
        self.assertEqual(evidence.record_end(ADDRESS, 6), [later])

    def test_response_of_another_incarnation_proves_nothing(self):
        evidence = CrashEvidence()
        call = broken_call()
        evidence.record_broken_call(call)
        self.assertEqual(evidence.record_response(ADDRESS, 'i-2@0', 3), [])
        self.assertEqual(evidence.record_end(ADDRESS, 4), [call])

    def test_response_to_an_earlier_call_proves_nothing(self):
        evidence = CrashEvidence()
        call = broken_call()
        evidence.record_broken_call(call)
        self.assertEqual(
            evidence.record_response(ADDRESS, INCARNATION, 1.5), []
        )
        self.assertEqual(evidence.record_end(ADDRESS, 4), [call])

    def test_call_before_an_accepted_connection_does_not_count(self):
        evidence = CrashEvidence()
        evidence.record_broken_call(broken_call())
        evidence.record_accepted_connection(ADDRESS, 2.1)
        later = broken_call('later', 3, 4)
        evidence.record_broken_call(later)
        self.assertEqual(evidence.record_end(ADDRESS, 5), [later])

    def test_successor_may_have_accepted_the_connection(self):
        evidence = CrashEvidence()
        call = broken_call()
        evidence.record_broken_call(call)
        evidence.record_accepted_connection(ADDRESS, 2.1)
        self.assertEqual(evidence.record_successor(ADDRESS, 5), [call])


if __name__ == '__main__':
    unittest.main()
