"""A seeded search over schedules of the switch by direct orders."""

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

#: A planted fault must be found within this many schedules.
FAULT_SCHEDULES = 200


class HastyGo(DirectSwitch):
    """Lets the pass go when most ranks are armed."""

    def next_orders(self, now):
        orders = super().next_orders(now)
        arms = [one for one in orders if isinstance(one, Arm)]
        if self.hold_step is not None and 0 < len(arms) < RANKS:
            return [Go(0, self.epoch, self.hold_step)]
        return orders


class ArmsWithoutHold(DirectSwitch):
    """Arms for a pass some way ahead, and doesn't hold before it."""

    def next_orders(self, now):
        if self.hold_step is None:
            self.hold_step = self.aim.step + 6
        return super().next_orders(now)


class GivesUp(DirectSwitch):
    """Lets a held pass go when arming takes long."""

    def next_orders(self, now):
        orders = super().next_orders(now)
        tries = getattr(self, 'tries', 0) + bool(orders)
        self.tries = tries
        if self.hold_step is not None and tries > 6:
            return [Go(0, self.epoch, self.hold_step)]
        return orders


class UnleasedCoordinator(Coordinator):
    """Goes on with its switch after another one was elected."""

    ignores_lease = True


class TestSchedules(unittest.TestCase):
    """One map a pass, whatever becomes of orders and coordinators."""

    def test_no_pass_mixes_maps_and_switches_end(self):
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

    def test_passes_go_on_after_all_faults(self):
        for seed in range(SCHEDULES // 3):
            with self.subTest(seed=seed):
                simulation = Simulation(seed)
                simulation.run(SPAN_S)
                simulation.settle()
                before = simulation.engines.step
                simulation.run(5)
                self.assertGreater(simulation.engines.step, before + 20)


class TestPlantedFaults(unittest.TestCase):
    """The search finds each of these."""

    def test_go_before_all_are_armed(self):
        self._find(HastyGo)

    def test_arming_without_a_hold(self):
        self._find(ArmsWithoutHold)

    def test_a_held_switch_is_given_up(self):
        self._find(GivesUp)

    def test_orders_without_a_lease(self):
        self._find(DirectSwitch, UnleasedCoordinator)

    def _find(self, make, coordinator=Coordinator):
        for seed in range(FAULT_SCHEDULES):
            try:
                Simulation(seed, make, coordinator).run(SPAN_S)
            except MixedMapsError:
                return
        self.fail(f'{make.__name__} was not found')
