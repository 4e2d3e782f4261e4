"""Guards against changes too small to pay off, and maps that are never refined.

With one fixed threshold, small changes delay the response to a shift that is
due where demand shifts often. Or a map that was planned from few counts right
after a shift stays in force although the demand lasts.
"""

from __future__ import annotations

import unittest

from snipebend.experts.change_value import (
    MAX_REMAINING_S,
    MAX_REQUIRED_SAVING,
    MIN_REMAINING_S,
    STABLE_AGE_RATIO,
    DemandAge,
    expected_remaining_s,
    required_saving,
)

FETCH_S = 0.1


class TestRequiredSaving(unittest.TestCase):
    """The required saving, by age of the demand."""

    def test_a_shift_justifies_a_change_at_once(self):
        for previous_s in (0, 2.0):
            self.assertEqual(
                required_saving(0.0, previous_s, FETCH_S), MAX_REQUIRED_SAVING
            )

    def test_required_saving_falls_with_the_age_of_the_demand(self):
        required = [
            required_saving(known, 0, FETCH_S) for known in (2, 4, 8, 60)
        ]
        self.assertEqual(required, sorted(required, reverse=True))
        self.assertLess(required[-1], 0.05)

    def test_small_changes_wait_where_demand_shifts_often(self):
        """Each change would delay the response to the shift that is due."""
        for age_s in (0.5, 1.0, 2.0, 3.9):
            self.assertEqual(
                required_saving(age_s, 2.0, FETCH_S), MAX_REQUIRED_SAVING
            )

    def test_demand_that_outlasts_the_previous_one_is_expected_to_stay(self):
        self.assertEqual(expected_remaining_s(2.5, 2.0), MIN_REMAINING_S)
        self.assertGreater(
            expected_remaining_s(STABLE_AGE_RATIO * 2.0, 2.0), 2.0
        )
        self.assertEqual(expected_remaining_s(1000, 2.0), MAX_REMAINING_S)

    def test_remaining_lifetime_follows_the_previous_demand(self):
        self.assertEqual(expected_remaining_s(2.0, 8.0), 6.0)


class TestDemandAge(unittest.TestCase):
    """The age of the demand, and the lifetime of the previous one."""

    def test_age_restarts_with_each_shift(self):
        age = DemandAge()
        self.assertEqual(age.age_s(9.0), 0)
        age.note_shift(10.0)
        self.assertEqual((age.age_s(12.0), age.previous_lifetime_s), (2.0, 0))
        age.note_shift(13.5)
        self.assertEqual((age.age_s(14.0), age.previous_lifetime_s), (0.5, 3.5))


if __name__ == '__main__':
    unittest.main()
