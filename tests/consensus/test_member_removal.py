"""A leader must neither keep a replaced member nor remove one too early.

A failed voter that stays after its replacement was added makes the majority
larger, so that the next failure stops the group. A voter that is removed too
early, such as during a restart, leaves the group with fewer voters instead. A
learner that lost contact must not stay either.
"""

from __future__ import annotations

import unittest

from snipebend.consensus.member_removal import (
    REMOVAL_TIMEOUT_S,
    find_failed_member,
)
from snipebend.consensus.records import Member, Members

A = Member('a', 'a', '10.0.0.1:1')
B = Member('b', 'b', '10.0.0.2:1')
C = Member('c', 'c', '10.0.0.3:1')
D = Member('d', 'd', '10.0.0.4:1')
E = Member('e', 'e', '10.0.0.5:1')
UNRESPONSIVE_S = REMOVAL_TIMEOUT_S + 1


class TestFindFailedMember(unittest.TestCase):
    """An unresponsive voter is removed once it has been replaced."""

    def test_none_while_all_are_responsive(self):
        self.assertIsNone(find_failed_member(Members((A, B, C, D)), {}))

    def test_none_without_a_replacement(self):
        self.assertIsNone(
            find_failed_member(Members((A, B, C)), {'c': UNRESPONSIVE_S})
        )

    def test_voter_with_a_replacement(self):
        self.assertEqual(
            find_failed_member(Members((A, B, C, D)), {'c': UNRESPONSIVE_S}), C
        )

    def test_none_before_the_timeout(self):
        contact_ages = {'c': REMOVAL_TIMEOUT_S / 2}
        self.assertIsNone(
            find_failed_member(Members((A, B, C, D)), contact_ages)
        )

    def test_longest_without_contact_first(self):
        contact_ages = {'d': UNRESPONSIVE_S, 'e': UNRESPONSIVE_S + 1}
        self.assertEqual(
            find_failed_member(Members((A, B, C, D, E)), contact_ages), E
        )

    def test_learner_that_lost_contact(self):
        members = Members((A, B, C), (D,))
        self.assertIsNone(find_failed_member(members, {}))
        self.assertEqual(
            find_failed_member(members, {'d': 3 * UNRESPONSIVE_S}), D
        )
