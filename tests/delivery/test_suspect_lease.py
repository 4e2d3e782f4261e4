"""A suspect's lease against the book that grants it."""

from __future__ import annotations

from unittest import TestCase

from snipebend.delivery.suspect_lease import NEWS_S, SuspectLease
from snipebend.state.fence_state import FenceState

_DEADLINE = 60.0
_END = _DEADLINE + NEWS_S


class SuspectLeaseTest(TestCase):
    """Two entries' leases of one fingerprint, before one book."""

    def setUp(self) -> None:
        self.book = FenceState()
        self.mine = SuspectLease('bad', 'entry', _DEADLINE)
        self.other = SuspectLease('bad', 'other', _DEADLINE)

    def take(self, lease: SuspectLease, now: float) -> float:
        """Ask for a lease; return the seconds to wait, 0 when it is held."""
        return lease.answered(self.book.take(lease.ask(), now), now)

    def give_back(self, lease: SuspectLease, now: float) -> bool:
        """Give a lease back if that is allowed."""
        req = lease.give_back()
        if req is not None:
            self.book.take(req, now)
        return req is not None

    def test_one_entry_at_a_time_and_others_know_until_when(self) -> None:
        self.assertFalse(self.take(self.mine, 1))
        self.assertEqual(self.take(self.other, 2), _END - 2)
        self.assertFalse(self.other.is_held)
        stranger = SuspectLease('good', 'other', _DEADLINE)
        self.assertFalse(self.take(stranger, 2))
        # One that isn't the holder can't end the lease.
        self.assertTrue(self.give_back(self.other, 3))
        self.assertTrue(self.take(self.other, 4))
        self.mine.note_start()
        self.mine.note_served()
        self.assertTrue(self.give_back(self.mine, 5))
        self.assertFalse(self.take(self.other, 5))
        self.assertTrue(self.take(self.mine, 6))

    def test_what_may_still_run_keeps_the_lease(self) -> None:
        self.take(self.mine, 1)
        self.mine.note_start()
        self.assertEqual(self.mine.blocked_for(2), _END - 2)
        self.assertFalse(self.give_back(self.mine, 3))
        self.assertTrue(self.take(self.other, _END - 1))
        self.assertFalse(self.take(self.other, _END))

    def test_a_refused_attempt_frees_it(self) -> None:
        self.take(self.mine, 1)
        self.mine.note_start()
        self.mine.note_end()
        self.assertFalse(self.mine.blocked_for(2))
        self.assertTrue(self.give_back(self.mine, 2))
        self.assertFalse(self.take(self.other, 2))

    def test_after_a_death_only_its_holder_goes_on(self) -> None:
        self.take(self.mine, 1)
        self.mine.note_start()
        self.mine.note_death()
        self.assertFalse(self.mine.blocked_for(2))
        self.assertFalse(self.give_back(self.mine, 2))
        self.assertTrue(self.take(self.other, 3))
        self.mine.note_start()
        self.mine.note_served()
        self.assertTrue(self.give_back(self.mine, 4))
        self.assertFalse(self.take(self.other, 4))

    def test_the_book_forgets_ended_leases(self) -> None:
        for number in range(50):
            lease = SuspectLease(f'f{number}', 'entry', number)
            self.take(lease, number)
            self.give_back(lease, number)
        self.assertEqual(len(self.book.fences), 1)
