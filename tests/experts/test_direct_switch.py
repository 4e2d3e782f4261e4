"""What one coordinator orders next, step by step."""

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
from snipebend.experts.hold_aim import AHEAD, LOSS_MARGIN, STEP_VALID_S, HoldAim
from snipebend.experts.rank_states import ARM_RETRY_S, MAX_ARM_RETRY_S

LAYERS = (((0,), (1,)),)
FETCH_S = 0.4


class TestHold(unittest.TestCase):
    """Which pass a group is held before."""

    def setUp(self):
        """Have two ranks fetch, at a pace of 20 passes a second before."""
        self.switch = DirectSwitch('g', 1, 1, LAYERS, 2, FETCH_S)
        self.switch.aim = HoldAim(100, 10.0, 0.05)
        for order in self.switch.next_orders(10.0):
            self.switch.note_reply(order, Reply.ACCEPTED, 10.0)

    def test_the_step_is_read_once_all_have_fetched(self):
        self.assertFalse(self.switch.needs_step(10.0 + FETCH_S / 2))
        self.assertTrue(self.switch.needs_step(10.0 + FETCH_S))

    def test_a_group_that_grew_slow_is_held_soon(self):
        now = 10.0 + FETCH_S
        self.switch.note_step(1, 103, now)
        self.assertEqual(
            self.switch.next_orders(now), [Hold(0, 1, 103 + AHEAD)]
        )

    def test_lost_answers_are_allowed_for_by_their_time(self):
        """Arming will lose as much as telling all to prepare did."""
        steps = [self._hold_step_after(*lost) for lost in ((), (Reply.LOST,))]
        self.assertEqual(steps, [103 + AHEAD, 103 + AHEAD + LOSS_MARGIN + 3])

    def _hold_step_after(self, *lost):
        """Tell one rank at once, the other 0.2 s later, after its losses."""
        switch = DirectSwitch('g', 1, 1, LAYERS, 2)
        switch.aim = HoldAim(100, 10.0, 0.1)
        first, last = switch.next_orders(10.0)
        switch.note_reply(first, Reply.ACCEPTED, 10.01)
        for reply in lost:
            switch.note_reply(last, reply, 10.05)
            self.assertEqual(switch.next_orders(10.15), [last])
        switch.note_reply(last, Reply.ACCEPTED, 10.21)
        switch.note_step(1, 103, 10.3)
        return switch.next_orders(10.3)[0].step

    def test_the_pace_is_measured_anew(self):
        self.switch.note_step(1, 103, 10.0 + 3 * 0.14)
        self.assertAlmostEqual(self.switch.aim.pass_s, 0.14)

    def test_readings_that_come_at_one_moment(self):
        """A process that was frozen gets them so."""
        now = 10.0 + FETCH_S
        self.switch.note_step(1, 103, now)
        self.switch.note_step(1, 104, now)
        self.assertEqual(
            self.switch.next_orders(now), [Hold(0, 1, 104 + AHEAD)]
        )

    def test_a_step_ages(self):
        now = 10.0 + FETCH_S
        self.switch.note_step(1, 103, now)
        self.assertFalse(self.switch.needs_step(now))
        self.assertTrue(self.switch.needs_step(now + STEP_VALID_S))

    def test_another_epoch_ends_it(self):
        self.switch.note_step(2, 3, 10.1)
        self.assertIs(self.switch.phase, Phase.DEAD)


class TestLetGo(unittest.TestCase):
    """A switch is over once the pass is let go that all are armed for."""

    def run_until_go(self, losing=()):
        """Give orders; lose the first reply to each kind in ``losing``."""
        switch = DirectSwitch('g', 1, 1, LAYERS, 2)
        switch.aim = HoldAim(100, 10.0, 0.05)
        lost = set(losing)
        given = []
        now = 10.0
        for _ in range(40):
            now += 0.03
            if switch.needs_step(now):
                switch.note_step(1, 103, now)
            for order in switch.next_orders(now):
                kind = type(order)
                given.append(kind)
                reply = Reply.LOST if kind in lost else Reply.ACCEPTED
                lost.discard(kind)
                switch.note_reply(order, reply, now)
        return switch, given

    def test_no_report_is_waited_for(self):
        switch, given = self.run_until_go()
        self.assertIs(switch.phase, Phase.GO_ACCEPTED)
        self.assertEqual(given, [Prepare, Prepare, Hold, Arm, Arm, Go])

    def test_a_lost_go_is_given_again(self):
        switch, given = self.run_until_go(losing=[Go])
        self.assertIs(switch.phase, Phase.GO_ACCEPTED)
        self.assertEqual(given[-2:], [Go, Go])

    def test_not_before_every_rank_has_said_that_it_is_armed(self):
        switch, given = self.run_until_go(losing=[Arm])
        self.assertIs(switch.phase, Phase.GO_ACCEPTED)
        self.assertEqual(given[3:], [Arm, Arm, Arm, Go])

    def test_a_hold_that_was_not_needed_is_let_go(self):
        """The ranks had switched by an older hold; reports tell it late."""
        switch = DirectSwitch('g', 1, 1, LAYERS, 2)
        switch.aim = HoldAim(100, 10.0, 0.05)
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

    def test_a_rank_that_refuses_is_asked_ever_less_often(self):
        switch = DirectSwitch('g', 1, 1, LAYERS, 2)
        switch.aim = HoldAim(100, 10.0, 0.05)
        asked = []
        for tick in range(200):
            now = 10.0 + 0.01 * tick
            if switch.needs_step(now):
                switch.note_step(1, 103, now)
            for order in switch.next_orders(now):
                refuses = isinstance(order, Arm) and order.rank == 1
                reply = Reply.REFUSED if refuses else Reply.ACCEPTED
                if refuses:
                    asked.append(now)
                switch.note_reply(order, reply, now)
        self.assertLess(asked[1] - asked[0], 2.5 * ARM_RETRY_S)
        self.assertLess(len(asked), 2 / MAX_ARM_RETRY_S + 4)
