"""When a change of map pays for itself."""

from __future__ import annotations

import unittest

from snipebend.experts.change_value import (
    MAX_REQUIRED_SAVING,
    MIN_REMAINING_S,
    MAX_REMAINING_S,
    STABLE_AGE_RATIO,
    DemandAge,
    expected_remaining_s,
    required_saving,
)

FETCH_S = 0.1


class TestLeastSaving(unittest.TestCase):
    """What a better map must save, by the age of the demand."""

    def test_a_turn_is_answered_at_once(self):
        for lasted_s in (0, 2.0):
            self.assertEqual(
                required_saving(0.0, lasted_s, FETCH_S), MAX_REQUIRED_SAVING
            )

    def test_the_longer_a_demand_stays_the_less_is_asked(self):
        asked = [required_saving(known, 0, FETCH_S) for known in (2, 4, 8, 60)]
        self.assertEqual(asked, sorted(asked, reverse=True))
        self.assertLess(asked[-1], 0.05)

    def test_where_demand_turns_often_small_changes_wait(self):
        """Each one would delay the answer to the turn that is due."""
        for age_s in (0.5, 1.0, 2.0, 3.9):
            self.assertEqual(
                required_saving(age_s, 2.0, FETCH_S), MAX_REQUIRED_SAVING
            )

    def test_one_that_outlasts_the_last_stays(self):
        self.assertEqual(expected_remaining_s(2.5, 2.0), MIN_REMAINING_S)
        self.assertGreater(
            expected_remaining_s(STABLE_AGE_RATIO * 2.0, 2.0), 2.0
        )
        self.assertEqual(expected_remaining_s(1000, 2.0), MAX_REMAINING_S)

    def test_what_is_left_of_a_long_one_counts(self):
        self.assertEqual(expected_remaining_s(2.0, 8.0), 6.0)


class TestDemandAge(unittest.TestCase):
    """How long demands last."""

    def test_it_begins_anew_with_each_turn(self):
        age = DemandAge()
        self.assertEqual(age.age_s(9.0), 0)
        age.note_shift(10.0)
        self.assertEqual((age.age_s(12.0), age.previous_lifetime_s), (2.0, 0))
        age.note_shift(13.5)
        self.assertEqual((age.age_s(14.0), age.previous_lifetime_s), (0.5, 3.5))


if __name__ == '__main__':
    unittest.main()
