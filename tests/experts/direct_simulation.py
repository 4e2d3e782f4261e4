"""Simulation of engines that execute direct orders, with faults.

Runs on virtual time. The engines follow the published rules: an order that does
not fit is refused, and an order can be lost or executed seconds after its
sender timed out.
"""

from __future__ import annotations

import heapq
import random
from itertools import count
from typing import TYPE_CHECKING

from snipebend.experts.direct_orders import (
    Arm,
    Armed,
    Go,
    Hold,
    Prepare,
    RankReport,
    Reply,
)
from snipebend.experts.direct_switch import DirectSwitch, ranks_to_poll
from snipebend.experts.hold_planner import HoldPlanner

if TYPE_CHECKING:
    from collections.abc import Callable

    from snipebend.experts.direct_orders import RankOrder

RANKS = 3
GROUP = 'g'
PASS_S = 0.05
REPORT_LAG_S = 0.2
STEP_S = 0.02
#: A roll of 0 to 99 at which an order is delivered without a fault.
FAULT_FREE_ROLL = 99

#: Seconds until a new leader starts: the lease of the previous one must expire.
LEASE_S = 1.0
#: Seconds that a new leader waits for earlier orders to take effect.
SETTLE_S = 0.3


class MixedMapsError(AssertionError):
    """A pass started while two ranks had different maps."""


class Rank:
    """The state of one engine."""

    def __init__(self) -> None:
        self.map_version = 0
        self.highest = 0
        self.prepared = None
        self.ready_at = 0.0
        self.armed = None
        self.held = None


class Engines:
    """The simulated group: runs passes, executes orders and sends reports."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.epoch = 1
        self.step = 0
        self.ranks = [Rank() for _ in range(RANKS)]

    def begin_pass(self) -> None:
        """Start the next pass unless a rank holds before it."""
        following = self.step + 1
        if any(one.held == following for one in self.ranks):
            return
        self.step = following
        for rank in self.ranks:
            if rank.armed and rank.armed.step == following:
                rank.map_version = rank.armed.version
                rank.armed = None
                rank.prepared = None
        versions = {one.map_version for one in self.ranks}
        if len(versions) > 1:
            raise MixedMapsError(f'pass {following}: versions {versions}')

    def crash(self) -> None:
        """Simulate the loss of a rank, after which the group is re-formed."""
        self.epoch += 1
        for rank in self.ranks:
            rank.map_version = 0
            rank.prepared = None
            rank.armed = None
            rank.held = None

    def execute(self, order: RankOrder, now: float) -> bool:
        """Execute an order; return whether it was accepted."""
        if order.epoch != self.epoch:
            return False
        rank = self.ranks[order.rank]
        match order:
            case Prepare(version=version):
                return self._prepare(rank, version, now)
            case Arm(version=version, step=step):
                return self._arm(rank, Armed(version, step), now)
            case Hold(step=step):
                if step <= self.step or rank.held not in {None, step}:
                    return False
                rank.held = step
                return True
            case Go(step=step):
                if rank.held != step:
                    return False
                rank.held = None
                return True

    def report(self, number: int, now: float) -> RankReport:
        """Return a rank's report."""
        rank = self.ranks[number]
        ready = rank.prepared if now >= rank.ready_at else None
        return RankReport(
            str(number),
            GROUP,
            self.epoch,
            number,
            RANKS,
            is_open=True,
            step=self.step,
            map_version=rank.map_version,
            prepared=ready,
            armed=rank.armed,
            held=rank.held,
        )

    def _prepare(self, rank: Rank, version: int, now: float) -> bool:
        if rank.prepared == version:
            return True
        if version <= rank.highest or rank.armed:
            return False
        rank.highest = version
        rank.prepared = version
        rank.ready_at = now + self.rng.uniform(0, 0.6)
        return True

    def _arm(self, rank: Rank, armed: Armed, now: float) -> bool:
        if rank.armed == armed:
            return True
        ready = rank.prepared == armed.version and now >= rank.ready_at
        if armed.step <= self.step or not ready:
            return False
        rank.armed = armed
        return True


class Coordinator:
    """A daemon that acts as leader until it learns that it was replaced."""

    ignores_lease = False

    def __init__(
        self, simulation: Simulation, make_switch: Callable[..., DirectSwitch]
    ) -> None:
        self.simulation = simulation
        self.make_switch = make_switch
        self.switch = None
        self.report_at = 0.0
        self.frozen_until = 0.0
        self.is_replaced = False
        self.is_stopped = False
        self.settled_at = None
        self.reports = None
        self.reports_ready_at = 0.0

    def run(self) -> None:
        """Run one step and schedule the next one."""
        simulation = self.simulation
        if self.is_stopped:
            return
        if simulation.now >= self.frozen_until:
            self._step()
        simulation.schedule(STEP_S, self.run)

    def _step(self) -> None:
        simulation = self.simulation
        if self.is_replaced and not self.ignores_lease:
            self.is_stopped = True
            return
        if self.switch is None or self.switch.is_finished:
            self._start_switch()
            return
        if self.switch.needs_step_reading(simulation.now):
            simulation.read_step(self)
        for order in self.switch.next_orders(simulation.now):
            simulation.send(self, order)
        if simulation.now >= self.report_at:
            self.report_at = simulation.now + REPORT_LAG_S
            for number in ranks_to_poll(self.switch):
                simulation.request_report(self, number)

    def _start_switch(self) -> None:
        """Wait until earlier orders have taken effect, then start a switch."""
        simulation = self.simulation
        if self.settled_at is None:
            self.settled_at = simulation.now + SETTLE_S
        if simulation.now < self.settled_at:
            return
        if self.reports is None:
            self.reports = [
                simulation.engines.report(number, simulation.now)
                for number in range(RANKS)
            ]
            self.reports_ready_at = simulation.now + 0.3
        if simulation.now < self.reports_ready_at:
            return
        reports = self.reports
        self.reports = None
        self.settled_at = None
        self._decide(reports)

    def _decide(self, reports) -> None:
        simulation = self.simulation
        epoch = reports[0].epoch
        planned, version = simulation.plan
        finished = all(one.map_version == version for one in reports)
        held = any(one.held and one.held > one.step for one in reports)
        if planned != epoch or finished:
            if self.is_replaced or (simulation.is_fault_free and not held):
                return
            version = simulation.next_version()
            simulation.plan = (epoch, version)
        self.switch = self.make_switch(
            GROUP,
            epoch,
            version,
            (),
            RANKS,
            0.3,
            HoldPlanner(reports[0].step, simulation.now),
        )
        for report in reports:
            self.switch.note_report(report)


class Simulation:
    """Schedules passes, orders, coordinators and faults from one seed."""

    def __init__(
        self,
        seed: int,
        make_switch: Callable[..., DirectSwitch] = DirectSwitch,
        coordinator: type[Coordinator] = Coordinator,
    ) -> None:
        self.rng = random.Random(seed)
        # A separate generator, so that reading steps does not change the
        # sequence of the other faults.
        self.step_rng = random.Random(seed)
        self.now = 0.0
        self.engines = Engines(self.rng)
        self.plan = (0, 0)
        self.is_fault_free = False
        self._make_switch = make_switch
        self._events = []
        self._numbers = count()
        self._coordinator = coordinator
        self.leader = coordinator(self, make_switch)
        self.schedule(0, self.leader.run)
        self.schedule(PASS_S, self._run_pass)
        self.schedule(0.5, self._inject_fault)

    def schedule(self, after_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback."""
        entry = (self.now + after_s, next(self._numbers), callback)
        heapq.heappush(self._events, entry)

    def run(self, span_s: float) -> None:
        """Run all events of the next ``span_s`` seconds."""
        end = self.now + span_s
        while self._events[0][0] <= end:
            entry = heapq.heappop(self._events)
            self.now = entry[0]
            entry[2]()
        self.now = end

    def next_version(self) -> int:
        """Return the version number of the next plan."""
        return self.plan[1] + 1

    def settle(self) -> None:
        """Stop the faults and run until the last switch has ended."""
        self.is_fault_free = True
        self.run(40)

    def send(self, sender: Coordinator, order: RankOrder) -> None:
        """Deliver an order to its engine: now, late or never."""
        roll = (
            FAULT_FREE_ROLL if self.is_fault_free else self.rng.randrange(100)
        )
        if roll < 10:
            self._reply(sender, order, Reply.LOST, 0.4)
            return
        if roll < 35:
            self.schedule(
                self.rng.uniform(0.5, 12), lambda: self._execute(order)
            )
            self._reply(sender, order, Reply.LOST, 0.4)
            return
        switch = sender.switch
        self.schedule(
            self.rng.uniform(0.001, 0.01),
            lambda: self._execute_and_reply(sender, switch, order),
        )

    def request_report(self, sender: Coordinator, number: int) -> None:
        """Deliver a report to a coordinator with a delay, or lose it."""
        if not self.is_fault_free and self.rng.randrange(10) == 0:
            return
        report = self.engines.report(number, self.now)
        switch = sender.switch
        self.schedule(
            self.rng.uniform(0.01, 0.3),
            lambda: self._deliver_report(sender, switch, report),
        )

    def read_step(self, sender: Coordinator) -> None:
        """Deliver the current pass to a coordinator, or lose the reading."""
        if not self.is_fault_free and self.step_rng.randrange(5) == 0:
            return
        switch = sender.switch
        epoch, step = self.engines.epoch, self.engines.step
        self.schedule(
            self.step_rng.uniform(0.001, 0.06),
            lambda: self._deliver_step(sender, switch, epoch, step),
        )

    def _deliver_step(self, sender, switch, epoch, step) -> None:
        arguments = (sender, switch, epoch, step)
        if not self._defer(sender, self._deliver_step, *arguments):
            switch.note_step(epoch, step, self.now)

    def _deliver_report(self, sender, switch, report) -> None:
        if not self._defer(
            sender, self._deliver_report, sender, switch, report
        ):
            switch.note_report(report)

    def _defer(self, sender, callback, *arguments) -> bool:
        """Postpone delivery to a frozen coordinator until it resumes."""
        if self.now >= sender.frozen_until:
            return False
        wait_s = sender.frozen_until - self.now
        self.schedule(wait_s, lambda: callback(*arguments))
        return True

    def _execute(self, order: RankOrder) -> bool:
        return self.engines.execute(order, self.now)

    def _execute_and_reply(self, sender, switch, order) -> None:
        reply = Reply.ACCEPTED if self._execute(order) else Reply.REFUSED
        self._deliver_reply(sender, switch, order, reply)

    def _reply(self, sender, order, reply, after_s) -> None:
        switch = sender.switch
        self.schedule(
            after_s, lambda: self._deliver_reply(sender, switch, order, reply)
        )

    def _deliver_reply(self, sender, switch, order, reply) -> None:
        if not self._defer(
            sender, self._deliver_reply, sender, switch, order, reply
        ):
            switch.note_reply(order, reply, self.now)

    def _run_pass(self) -> None:
        if self.rng.randrange(10):
            self.engines.begin_pass()
        self.schedule(PASS_S * self.rng.uniform(0.5, 2), self._run_pass)

    def _inject_fault(self) -> None:
        if self.is_fault_free:
            return
        match self.rng.randrange(8):
            case 0:
                self.engines.crash()
            case 1 | 2:
                self._replace_leader(dies=True)
            case 3 | 4:
                self._replace_leader(dies=False)
            case _:
                self.leader.frozen_until = self.now + self.rng.uniform(0, 3)
        self.schedule(self.rng.uniform(0.3, 4), self._inject_fault)

    def _replace_leader(self, *, dies: bool) -> None:
        """Elect a new leader; the old one ends, or resumes after a freeze."""
        old = self.leader
        old.is_replaced = True
        old.is_stopped = dies
        if not dies:
            old.frozen_until = self.now + self.rng.uniform(0, 6)
        self.leader = self._coordinator(self, self._make_switch)
        self.schedule(LEASE_S, self.leader.run)
