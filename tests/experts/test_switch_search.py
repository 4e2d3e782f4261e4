"""Searches for a schedule in which one step runs under two expert maps.

The network is unreliable. A coordinator that activates a map without a durable
decision, or a rank that passes the hold, accepts an old fence or promises
before its weights are fetched, then lets ranks run a step under different maps.
The search must detect each of these faults when it is injected.
"""

from __future__ import annotations

import sys
import unittest
from types import MappingProxyType

from snipebend.experts.switch_barrier import Verdict
from snipebend.experts.switch_coordinator import SwitchCoordinator
from snipebend.experts.switch_events import NeedMap, SendOrder
from snipebend.experts.switch_messages import Activate, Decide, change_record
from snipebend.experts.switch_rank import RankGuard
from snipebend.experts.switch_runner import StepRunner
from snipebend.experts.switch_states import Activating, Idle
from tests.experts.switch_simulation import GROUP, InvariantError, Simulation

SCHEDULES = 250
EVENTS = 4000
SETTLING_ROUNDS = 120

#: Number of schedules within which an injected fault must be detected.
FAULT_SCHEDULES = 400


class EagerCoordinator(SwitchCoordinator):
    """Fault: activates without a durable decision."""

    def decide(self, decision):
        self.record = change_record(self.record, Decide(decision))
        self.state = Activating(decision)
        order = Activate(GROUP, self._fence, self.record)
        return [SendOrder(rank, order) for rank in decision.members]


class SameIncarnationCoordinator(SwitchCoordinator):
    """Fault: continues in the incarnation of a lost rank."""

    def start_incarnation(self):
        if self.record.incarnation == 0:
            return super().start_incarnation()
        self.state = Idle()
        return [NeedMap(self.record.incarnation, self.roster.announced)]


class HoldlessRunner(StepRunner):
    """Fault: enters steps beyond the hold."""

    def can_enter(self, step):
        return True


class UncheckedRunner(StepRunner):
    """Fault: does not compare the stamps at the barrier."""

    def note_entry(self, entry):
        self._barrier.record(entry)
        return []

    def barrier_verdict(self):
        is_complete = None not in self._barrier.stamps()
        return Verdict.AGREED if is_complete else Verdict.WAITING


def with_runner(runner):
    def make(rank, life, fence):
        return RankGuard(rank, life, fence, runner)

    return make


class UnfencedGuard(RankGuard):
    """Fault: accepts orders with old fences."""

    def is_stale(self, fence):
        return False


class EagerGuard(RankGuard):
    """Fault: promises before the weights are fetched."""

    def can_promise(self):
        return self.promise.fetching is not None


FAULTS = MappingProxyType(
    {
        'activate without durable decision': {'coordinator': EagerCoordinator},
        'no hold': {'guard': with_runner(HoldlessRunner)},
        'barrier without version check': {
            'guard': with_runner(UncheckedRunner)
        },
        'incarnation not bumped': {'coordinator': SameIncarnationCoordinator},
        'old fence accepted': {'guard': UnfencedGuard},
        'ack before weights fetched': {'guard': EagerGuard},
    }
)


def search(**machines: object) -> str:
    """Return the first violation in all schedules, or an empty string."""
    for seed in range(FAULT_SCHEDULES):
        found = run_schedule(seed, **machines)
        if found:
            return f'seed {seed}: {found}'
    return ''


def run_schedule(seed: int, **machines: object) -> str:
    """Run one schedule; return the violation, or an empty string."""
    simulation = Simulation(seed, **machines)
    try:
        simulation.run(EVENTS)
        progress = simulation.settle(SETTLING_ROUNDS)
    except InvariantError as exc:
        return str(exc.args)
    return '' if progress else 'no progress'


class SwitchSearchTest(unittest.TestCase):
    """No step runs under two maps, and switches make progress."""

    def test_no_step_under_two_maps_and_progress(self) -> None:
        steps = 0
        switches = 0
        for seed in range(SCHEDULES):
            with self.subTest(seed=seed):
                simulation = Simulation(seed)
                simulation.run(EVENTS)
                self.assertTrue(
                    simulation.settle(SETTLING_ROUNDS), simulation.record
                )
                steps += simulation.checker.steps
                switches += simulation.activated
        sys.stdout.write(
            f'switch search: {SCHEDULES} schedules of {EVENTS} events, '
            f'{steps} steps run, {switches} switches\n',
        )
        self.assertGreater(steps, SCHEDULES * 10)
        self.assertGreater(switches, SCHEDULES * 2)

    def test_injected_faults_are_detected(self) -> None:
        for name, machines in FAULTS.items():
            with self.subTest(fault=name):
                found = search(**machines)
                sys.stdout.write(f'{name}: {found[:70]}\n')
                self.assertTrue(found)


if __name__ == '__main__':
    unittest.main()
