"""Searches for a schedule in which one pass runs with different maps.

Orders are lost, or executed seconds after their sender timed out, and leaders
are replaced during a switch. A coordinator that sends ``Go`` early, arms
without a hold or continues without its lease then lets ranks start a pass with
different maps. A switch must also not leave its group on hold.
"""

from __future__ import annotations

import unittest

from snipebend.experts.direct_orders import Arm, Go
from snipebend.experts.direct_switch import DirectSwitch
from tests.experts.direct_simulation import (
    RANKS,
    Coordinator,
    MixedMapsError,
    Simulation,
)

SCHEDULES = 150
SPAN_S = 60

#: Number of schedules within which an injected fault must be detected.
FAULT_SCHEDULES = 200


class EarlyGo(DirectSwitch):
    """Fault: sends ``Go`` when most ranks are armed."""

    def next_orders(self, now):
        orders = super().next_orders(now)
        arms = [one for one in orders if isinstance(one, Arm)]
        if self.hold_step is not None and 0 < len(arms) < RANKS:
            return [Go(0, self.epoch, self.hold_step)]
        return orders


class ArmsWithoutHold(DirectSwitch):
    """Fault: arms for a later pass without a hold before it."""

    def next_orders(self, now):
        if self.hold_step is None:
            self.hold_step = self.aim.step + 6
        return super().next_orders(now)


class ReleasesHeldPass(DirectSwitch):
    """Fault: sends ``Go`` for a held pass when arming takes long."""

    def next_orders(self, now):
        orders = super().next_orders(now)
        tries = getattr(self, 'tries', 0) + bool(orders)
        self.tries = tries
        if self.hold_step is not None and tries > 6:
            return [Go(0, self.epoch, self.hold_step)]
        return orders


class UnleasedCoordinator(Coordinator):
    """Fault: continues its switch after another leader was elected."""

    ignores_lease = True


class TestSchedules(unittest.TestCase):
    """All ranks have one map per pass, despite faults of any kind."""

    def test_no_mixed_maps_and_switches_finish(self):
        switched = 0
        for seed in range(SCHEDULES):
            with self.subTest(seed=seed):
                simulation = Simulation(seed)
                simulation.run(SPAN_S)
                simulation.settle()
                epoch, version = simulation.plan
                ranks = simulation.engines.ranks
                if epoch == simulation.engines.epoch:
                    self.assertEqual(
                        {rank.map_version for rank in ranks}, {version}
                    )
                self.assertFalse([rank for rank in ranks if rank.held])
                switched += version
        self.assertGreater(switched, SCHEDULES * 3)

    def test_passes_continue_after_all_faults(self):
        for seed in range(SCHEDULES // 3):
            with self.subTest(seed=seed):
                simulation = Simulation(seed)
                simulation.run(SPAN_S)
                simulation.settle()
                before = simulation.engines.step
                simulation.run(5)
                self.assertGreater(simulation.engines.step, before + 20)


class TestInjectedFaults(unittest.TestCase):
    """The search detects each injected fault."""

    def test_go_before_all_are_armed(self):
        self._assert_detected(EarlyGo)

    def test_arming_without_a_hold(self):
        self._assert_detected(ArmsWithoutHold)

    def test_held_switch_is_abandoned(self):
        self._assert_detected(ReleasesHeldPass)

    def test_orders_without_a_lease(self):
        self._assert_detected(DirectSwitch, UnleasedCoordinator)

    def _assert_detected(self, make, coordinator=Coordinator):
        for seed in range(FAULT_SCHEDULES):
            try:
                Simulation(seed, make, coordinator).run(SPAN_S)
            except MixedMapsError:
                return
        self.fail(f'{make.__name__} was not found')
