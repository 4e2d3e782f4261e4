"""Upstreams that left or expired must not be listed again.

Announcements arrive late, repeatedly and out of order: one from before the
upstream left, or a copy received after its lease expired, must not list it
again. The timing wheel must expire leases on time at a constant cost.
"""

from __future__ import annotations

from typing import NamedTuple
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from snipebend.membership.directory import (
    ANNOUNCEMENT_LEASE_S,
    SUSPICION_S,
    UpstreamDirectory,
)
from snipebend.membership.messages import Announcement, Phase
from snipebend.membership.wheel import DeadlineWheel


def announce(
    sequence: int,
    *,
    incarnation: int = 1,
    phase: Phase = Phase.SERVING,
) -> Announcement:
    """Return an announcement of the upstream ``u``."""
    return Announcement(
        'u', 'drafting', 'a', 'h', 'g', incarnation, sequence, phase
    )


class Delivery(NamedTuple):
    """An announcement that arrives some time after the previous one."""

    sequence: int
    incarnation: int
    after_s: float
    phase: Phase


DELIVERIES = st.lists(
    st.builds(
        Delivery,
        st.integers(1, 6),
        st.integers(1, 3),
        st.floats(0, 3, allow_nan=False),
        st.sampled_from(Phase),
    ),
    max_size=30,
)


class DirectoryTest(TestCase):
    """Leases, the leaving phase and incarnations of one upstream."""

    @settings(derandomize=True, deadline=None)
    @given(DELIVERIES)
    def test_leaving_is_final_for_an_incarnation(
        self, deliveries: list[Delivery]
    ) -> None:
        """In any order of receipt, only a restart ends the leaving phase."""
        directory = UpstreamDirectory()
        now = 0.0
        left = 0
        for delivery in deliveries:
            now += delivery.after_s
            accepted = directory.record(
                announce(
                    delivery.sequence,
                    incarnation=delivery.incarnation,
                    phase=delivery.phase,
                ),
                now,
            )
            if accepted and delivery.phase is Phase.LEAVING:
                left = max(left, delivery.incarnation)
            for entry in directory.fresh(now):
                self.assertTrue(
                    entry.phase is Phase.LEAVING or entry.incarnation > left
                )

    def test_late_copy_does_not_restore_an_expired_upstream(self) -> None:
        """A copy received after the lease has expired is ignored."""
        directory = UpstreamDirectory()
        self.assertTrue(directory.record(announce(5), 0))
        self.assertEqual(directory.fresh(ANNOUNCEMENT_LEASE_S + 1), ())
        self.assertFalse(directory.record(announce(5), 7))
        self.assertFalse(directory.record(announce(4), 7))
        self.assertTrue(directory.record(announce(6), 8))

    def test_suspected_before_removal(self) -> None:
        """An upstream that misses announcements is suspected first."""
        directory = UpstreamDirectory()
        directory.record(announce(1), 0)
        member = directory.members(SUSPICION_S)[0]
        self.assertTrue(member.is_overdue(SUSPICION_S))
        directory.record(announce(2), SUSPICION_S)
        member = directory.members(SUSPICION_S)[0]
        self.assertFalse(member.is_overdue(SUSPICION_S + 1))
        self.assertEqual(member.joined_at, 0)


class WheelTest(TestCase):
    """The timing wheel compared with a plain table of deadlines."""

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from('abcd'),
                st.floats(0, 9, allow_nan=False),
                st.floats(0, 4, allow_nan=False),
            ),
            max_size=40,
        )
    )
    def test_expires_within_a_tick(
        self, steps: list[tuple[str, float, float]]
    ) -> None:
        """No item expires early, and each at most one tick late."""
        wheel = DeadlineWheel(0.5)
        deadlines: dict[str, float] = {}
        now = 0.0
        for name, span, pause in steps:
            now += pause
            for due in wheel.pop_expired(now):
                self.assertLessEqual(deadlines.pop(due), now)
            for deadline in deadlines.values():
                self.assertGreater(deadline + 0.5, now)
            wheel.renew(name, now + span)
            deadlines[name] = now + span

    def test_constant_cost_per_upstream(self) -> None:
        """An item moves once per lease, however often it is renewed."""
        wheel = DeadlineWheel(0.25)
        for tick in range(1000):
            for number in range(10):
                wheel.renew(str(number), tick / 10 + 5)
            self.assertEqual(wheel.pop_expired(tick / 10), [])
        # 100 s with leases of 5 s: twenty moves each, plus the first insertion.
        self.assertLessEqual(wheel.moves, 10 * 21)
