"""Guards against a workspace whose slow callers take the memory of all."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from snipebend.relay.buffer_budget import BufferBudget, make_budget

CAPACITY = 1000
SIZES = st.lists(
    st.tuples(st.sampled_from('abc'), st.integers(1, CAPACITY)), max_size=40
)


class TestBufferBudget(unittest.TestCase):
    """A workspace holds at most as much as is still free."""

    def test_one_workspace_leaves_room_for_others(self):
        budget = BufferBudget(CAPACITY)
        while budget.has_room('slow', 100):
            budget.hold('slow', 100)
        self.assertEqual(budget.held, CAPACITY // 2)
        self.assertTrue(budget.has_room('other', 100))

    def test_what_exists_already_is_counted_beyond_the_room(self):
        budget = BufferBudget(CAPACITY)
        held = budget.hold('slow', 2 * CAPACITY)
        self.assertFalse(budget.has_room('other', 1))
        held.release()
        self.assertTrue(budget.has_room('other', 1))
        self.assertEqual(budget.by_workspace, {})

    def test_growth_without_room_changes_nothing(self):
        budget = BufferBudget(CAPACITY)
        held = budget.hold('slow', 400)
        self.assertFalse(held.try_grow(900))
        self.assertEqual((held.size, budget.held), (400, 400))
        self.assertTrue(held.try_grow(500))
        self.assertEqual(budget.held, 500)

    def test_no_budget_without_a_known_memory(self):
        self.assertIsNone(make_budget(0))
        self.assertGreater(make_budget(152).capacity, 0)

    @settings(derandomize=True)
    @given(SIZES)
    def test_never_over_capacity_and_nothing_remains(self, sizes):
        budget = BufferBudget(CAPACITY)
        holds = []
        for workspace, size in sizes:
            if budget.has_room(workspace, size):
                holds.append(budget.hold(workspace, size))
            self.assertLessEqual(budget.held, CAPACITY)
        for held in holds:
            held.release()
        self.assertEqual((budget.held, budget.by_workspace), (0, {}))


if __name__ == '__main__':
    unittest.main()
