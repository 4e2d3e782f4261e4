"""Which member the leader removes."""

from __future__ import annotations

import unittest

from snipebend.consensus.records import Member, Members
from snipebend.consensus.replacing import GONE_AFTER_S, find_gone

A = Member('a', 'a', '10.0.0.1:1')
B = Member('b', 'b', '10.0.0.2:1')
C = Member('c', 'c', '10.0.0.3:1')
D = Member('d', 'd', '10.0.0.4:1')
E = Member('e', 'e', '10.0.0.5:1')
LONG = GONE_AFTER_S + 1


class TestFindGone(unittest.TestCase):
    """A silent voter goes once it has a successor."""

    def test_nobody_while_all_are_heard(self):
        self.assertIsNone(find_gone(Members((A, B, C, D)), {}))

    def test_not_without_a_successor(self):
        self.assertIsNone(find_gone(Members((A, B, C)), {'c': LONG}))

    def test_with_a_successor(self):
        self.assertEqual(find_gone(Members((A, B, C, D)), {'c': LONG}), C)

    def test_not_after_a_short_silence(self):
        silences = {'c': GONE_AFTER_S / 2}
        self.assertIsNone(find_gone(Members((A, B, C, D)), silences))

    def test_the_longest_silence_first(self):
        silences = {'d': LONG, 'e': LONG + 1}
        self.assertEqual(find_gone(Members((A, B, C, D, E)), silences), E)

    def test_a_learner_that_was_heard_and_fell_silent(self):
        members = Members((A, B, C), (D,))
        self.assertIsNone(find_gone(members, {}))
        self.assertEqual(find_gone(members, {'d': 3 * LONG}), D)
