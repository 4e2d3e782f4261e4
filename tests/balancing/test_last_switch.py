"""Guards against a switch that is repeated although it is taking effect.

Reports of the ranks have different ages. After ``Go`` was accepted, some still
show the previous map and the hold, like a rank that failed to switch. Only the
step of a report tells the two cases apart.
"""

from __future__ import annotations

import unittest

from snipebend.experts.direct_orders import Armed, RankReport
from snipebend.experts.direct_switch import Phase
from snipebend.state.group_plans import GroupPlan
from snipebend.state.roster import UpstreamRecord
from snipebend.balancing.group_observer import GroupSnapshot
from snipebend.balancing.last_switch import LastSwitch

PLAN = GroupPlan('g', 1, 7, (((0,), (1,)),))


def snapshot(*ranks, armed=None):
    """Return a snapshot from the step, version and hold of each rank."""
    reports = {
        rank: RankReport(
            str(rank),
            'g',
            1,
            rank,
            len(ranks),
            True,
            step,
            version,
            armed=armed,
            held=held,
        )
        for rank, (step, version, held) in enumerate(ranks)
    }
    record = UpstreamRecord('0', 's', '10.0.0.1:80', 'dc', 4)
    return GroupSnapshot(reports, dict.fromkeys(reports, record), 99.0)


class TestLastSwitch(unittest.TestCase):
    """A switch whose ``Go`` was accepted for pass 303."""

    def setUp(self):
        self.last = LastSwitch()
        self.last.record_outcome(7, Phase.GO_ACCEPTED, 303, 10.0)

    def test_reports_from_before_the_pass(self):
        old = snapshot((302, 6, 303), (302, 6, None))
        self.assertTrue(self.last.is_unfinished(PLAN, old))
        self.assertTrue(self.last.is_pending(PLAN, old))

    def test_hold_up_to_the_pass_of_armed_ranks(self):
        """Guards against a group that nobody releases from a late hold."""
        ranks = Armed(7, 303)
        for held, is_pending in ((301, False), (303, False), (304, True)):
            with self.subTest(held=held):
                late = snapshot((300, 6, held), (300, 6, None), armed=ranks)
                self.assertIs(self.last.is_pending(PLAN, late), is_pending)

    def test_report_of_a_slow_rank_is_older(self):
        mixed = snapshot((302, 6, 303), (310, 7, None))
        self.assertTrue(self.last.is_pending(PLAN, mixed))
        self.assertFalse(mixed.is_held)

    def test_rank_that_did_not_switch_is_unfinished(self):
        failed = snapshot((310, 6, None), (310, 7, None))
        self.assertTrue(self.last.is_unfinished(PLAN, failed))
        self.assertFalse(self.last.is_pending(PLAN, failed))

    def test_in_force_everywhere(self):
        self.assertFalse(
            self.last.is_unfinished(
                PLAN, snapshot((310, 7, None), (310, 7, None))
            )
        )

    def test_another_plan_or_epoch(self):
        old = snapshot((302, 6, None), (302, 6, None))
        later = GroupPlan('g', 1, 8, PLAN.layers)
        self.assertFalse(self.last.is_pending(later, old))
        formed = GroupPlan('g', 2, 7, PLAN.layers)
        self.assertFalse(self.last.is_unfinished(formed, old))

    def test_hold_is_detected(self):
        self.assertTrue(snapshot((302, 7, 303), (301, 7, None)).is_held)

    def test_refused_plan_is_not_retried(self):
        self.last.record_outcome(7, Phase.REFUSED, None, 11.0)
        old = snapshot((302, 6, None), (302, 6, None))
        self.assertFalse(self.last.is_unfinished(PLAN, old))
        self.assertEqual(self.last.orders_allowed_at, 11.0)
