"""Guards against a ``Go`` that is sent too early, and a group left on hold.

Replies are lost, ranks refuse ``Arm`` until they have fetched, and step
readings become outdated. A ``Go`` before every rank is armed would start a pass
with different maps. A hold that is set too early or is not released makes the
group idle.
"""

from __future__ import annotations

import unittest

from snipebend.experts.direct_orders import (
    Arm,
    Go,
    Hold,
    Prepare,
    RankReport,
    Reply,
)
from snipebend.experts.direct_switch import GO_RETRY_S, DirectSwitch, Phase
from snipebend.experts.hold_planner import (
    LOSS_MARGIN_PASSES,
    PASSES_AHEAD,
    STEP_VALID_S,
    HoldPlanner,
)
from snipebend.experts.rank_states import ARM_RETRY_S, MAX_ARM_RETRY_S

LAYERS = (((0,), (1,)),)
FETCH_S = 0.4


class TestHold(unittest.TestCase):
    """Selection of the pass to hold."""

    def setUp(self):
        """Let two ranks fetch, after passes at a rate of 20 per second."""
        self.switch = DirectSwitch('g', 1, 1, LAYERS, 2, FETCH_S)
        self.switch.aim = HoldPlanner(100, 10.0, 0.05)
        for order in self.switch.next_orders(10.0):
            self.switch.note_reply(order, Reply.ACCEPTED, 10.0)

    def test_step_is_read_after_all_fetches(self):
        self.assertFalse(self.switch.needs_step_reading(10.0 + FETCH_S / 2))
        self.assertTrue(self.switch.needs_step_reading(10.0 + FETCH_S))

    def test_hold_is_close_for_a_slower_group(self):
        now = 10.0 + FETCH_S
        self.switch.note_step(1, 103, now)
        self.assertEqual(
            self.switch.next_orders(now), [Hold(0, 1, 103 + PASSES_AHEAD)]
        )

    def test_hold_accounts_for_lost_replies(self):
        """Arming is expected to lose as much time as ``Prepare`` did."""
        steps = [self._hold_step_after(*lost) for lost in ((), (Reply.LOST,))]
        self.assertEqual(
            steps,
            [103 + PASSES_AHEAD, 103 + PASSES_AHEAD + LOSS_MARGIN_PASSES + 3],
        )

    def _hold_step_after(self, *lost):
        """Prepare one rank at once and the other 0.2 s later, after losses."""
        switch = DirectSwitch('g', 1, 1, LAYERS, 2)
        switch.aim = HoldPlanner(100, 10.0, 0.1)
        first, last = switch.next_orders(10.0)
        switch.note_reply(first, Reply.ACCEPTED, 10.01)
        for reply in lost:
            switch.note_reply(last, reply, 10.05)
            self.assertEqual(switch.next_orders(10.15), [last])
        switch.note_reply(last, Reply.ACCEPTED, 10.21)
        switch.note_step(1, 103, 10.3)
        return switch.next_orders(10.3)[0].step

    def test_pass_duration_is_measured_again(self):
        self.switch.note_step(1, 103, 10.0 + 3 * 0.14)
        self.assertAlmostEqual(self.switch.aim.pass_s, 0.14)

    def test_simultaneous_readings(self):
        """A process that was frozen receives several readings at once."""
        now = 10.0 + FETCH_S
        self.switch.note_step(1, 103, now)
        self.switch.note_step(1, 104, now)
        self.assertEqual(
            self.switch.next_orders(now), [Hold(0, 1, 104 + PASSES_AHEAD)]
        )

    def test_step_reading_expires(self):
        now = 10.0 + FETCH_S
        self.switch.note_step(1, 103, now)
        self.assertFalse(self.switch.needs_step_reading(now))
        self.assertTrue(self.switch.needs_step_reading(now + STEP_VALID_S))

    def test_new_epoch_ends_the_switch(self):
        self.switch.note_step(2, 3, 10.1)
        self.assertIs(self.switch.phase, Phase.DEAD)


class TestGo(unittest.TestCase):
    """A switch is finished once ``Go`` is accepted for the armed pass."""

    def run_until_go(self, lost_kinds=()):
        """Send orders; lose the first reply to each kind in ``lost_kinds``."""
        switch = DirectSwitch('g', 1, 1, LAYERS, 2)
        switch.aim = HoldPlanner(100, 10.0, 0.05)
        lost = set(lost_kinds)
        sent = []
        now = 10.0
        for _ in range(40):
            now += 0.03
            if switch.needs_step_reading(now):
                switch.note_step(1, 103, now)
            for order in switch.next_orders(now):
                kind = type(order)
                sent.append(kind)
                reply = Reply.LOST if kind in lost else Reply.ACCEPTED
                lost.discard(kind)
                switch.note_reply(order, reply, now)
        return switch, sent

    def test_does_not_wait_for_reports(self):
        switch, sent = self.run_until_go()
        self.assertIs(switch.phase, Phase.GO_ACCEPTED)
        self.assertEqual(sent, [Prepare, Prepare, Hold, Arm, Arm, Go])

    def test_lost_go_is_sent_again(self):
        switch, sent = self.run_until_go(lost_kinds=[Go])
        self.assertIs(switch.phase, Phase.GO_ACCEPTED)
        self.assertEqual(sent[-2:], [Go, Go])

    def test_go_requires_every_rank_to_confirm_arming(self):
        switch, sent = self.run_until_go(lost_kinds=[Arm])
        self.assertIs(switch.phase, Phase.GO_ACCEPTED)
        self.assertEqual(sent[3:], [Arm, Arm, Arm, Go])

    def test_unneeded_hold_is_released(self):
        """The ranks switched at an older hold; reports show it late."""
        switch = DirectSwitch('g', 1, 1, LAYERS, 2)
        switch.aim = HoldPlanner(100, 10.0, 0.05)
        for order in switch.next_orders(10.0):
            switch.note_reply(order, Reply.ACCEPTED, 10.0)
        switch.note_step(1, 103, 10.1)
        held = switch.next_orders(10.1)[0]
        switch.note_reply(held, Reply.ACCEPTED, 10.1)
        for rank in range(2):
            switch.note_report(
                RankReport(
                    str(rank), 'g', 1, rank, 2, True, step=102, map_version=1
                )
            )
        self.assertFalse(switch.is_finished)
        now = 10.2
        self.assertEqual(switch.next_orders(now), [Go(0, 1, held.step)])
        switch.note_reply(Go(0, 1, held.step), Reply.LOST, now)
        now += GO_RETRY_S
        self.assertEqual(switch.next_orders(now), [Go(0, 1, held.step)])
        switch.note_reply(Go(0, 1, held.step), Reply.ACCEPTED, now)
        self.assertIs(switch.phase, Phase.DONE)

    def test_arm_retries_back_off(self):
        switch = DirectSwitch('g', 1, 1, LAYERS, 2)
        switch.aim = HoldPlanner(100, 10.0, 0.05)
        arm_times = []
        for tick in range(200):
            now = 10.0 + 0.01 * tick
            if switch.needs_step_reading(now):
                switch.note_step(1, 103, now)
            for order in switch.next_orders(now):
                refuses = isinstance(order, Arm) and order.rank == 1
                reply = Reply.REFUSED if refuses else Reply.ACCEPTED
                if refuses:
                    arm_times.append(now)
                switch.note_reply(order, reply, now)
        self.assertLess(arm_times[1] - arm_times[0], 2.5 * ARM_RETRY_S)
        self.assertLess(len(arm_times), 2 / MAX_ARM_RETRY_S + 4)
