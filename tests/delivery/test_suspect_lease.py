"""A request suspected of crashing upstreams must run at one at a time.

The lease is on the fingerprint of the request, and two entries ask for it. If
it is released while an attempt may still run, or right after the upstream of an
attempt died, the second entry can crash another upstream before the first death
is counted.
"""

from __future__ import annotations

from unittest import TestCase

from snipebend.delivery.suspect_lease import DEATH_REPORT_GRACE_S, SuspectLease
from snipebend.state.fence_state import FenceState

_DEADLINE = 60.0
_END = _DEADLINE + DEATH_REPORT_GRACE_S


class SuspectLeaseTest(TestCase):
    """Two entries request a lease on the same fingerprint."""

    def setUp(self) -> None:
        self.book = FenceState()
        self.first = SuspectLease('bad', 'entry', _DEADLINE)
        self.other = SuspectLease('bad', 'other', _DEADLINE)

    def take(self, lease: SuspectLease, now: float) -> float:
        """Request a lease; return the seconds to wait, 0 if it is granted."""
        return lease.apply_reply(
            self.book.take(lease.build_request(), now), now
        )

    def release(self, lease: SuspectLease, now: float) -> bool:
        """Release a lease if that is allowed."""
        req = lease.build_release()
        if req is not None:
            self.book.take(req, now)
        return req is not None

    def test_one_holder_at_a_time_and_others_get_its_expiry(self) -> None:
        self.assertFalse(self.take(self.first, 1))
        self.assertEqual(self.take(self.other, 2), _END - 2)
        self.assertFalse(self.other.is_held)
        unrelated = SuspectLease('good', 'other', _DEADLINE)
        self.assertFalse(self.take(unrelated, 2))
        # Only the holder can end the lease.
        self.assertTrue(self.release(self.other, 3))
        self.assertTrue(self.take(self.other, 4))
        self.first.record_start()
        self.first.record_served()
        self.assertTrue(self.release(self.first, 5))
        self.assertFalse(self.take(self.other, 5))
        self.assertTrue(self.take(self.first, 6))

    def test_attempt_that_may_still_run_keeps_the_lease(self) -> None:
        self.take(self.first, 1)
        self.first.record_start()
        self.assertEqual(self.first.blocked_for(2), _END - 2)
        self.assertFalse(self.release(self.first, 3))
        self.assertTrue(self.take(self.other, _END - 1))
        self.assertFalse(self.take(self.other, _END))

    def test_a_refused_attempt_releases_the_lease(self) -> None:
        self.take(self.first, 1)
        self.first.record_start()
        self.first.record_not_run()
        self.assertFalse(self.first.blocked_for(2))
        self.assertTrue(self.release(self.first, 2))
        self.assertFalse(self.take(self.other, 2))

    def test_after_a_death_only_the_holder_can_continue(self) -> None:
        self.take(self.first, 1)
        self.first.record_start()
        self.first.record_death()
        self.assertFalse(self.first.blocked_for(2))
        self.assertFalse(self.release(self.first, 2))
        self.assertTrue(self.take(self.other, 3))
        self.first.record_start()
        self.first.record_served()
        self.assertTrue(self.release(self.first, 4))
        self.assertFalse(self.take(self.other, 4))

    def test_the_book_drops_released_leases(self) -> None:
        for number in range(50):
            lease = SuspectLease(f'f{number}', 'entry', number)
            self.take(lease, number)
            self.release(lease, number)
        self.assertEqual(len(self.book.fences), 1)
