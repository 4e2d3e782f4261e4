"""Simulation of two groups under one leader on a shared virtual clock.

Each group runs a separate switch; a crash or freeze of the leader affects both.
Orders are addressed to a rank process, not to a rank number in a group: when an
order is executed late, its rank can belong to the other group.
"""

from __future__ import annotations

import heapq
import random
from itertools import count

from snipebend.experts.direct_orders import Reply
from snipebend.experts.direct_switch import DirectSwitch
from tests.experts.direct_simulation import RANKS, Coordinator, Simulation

#: First epoch of the second group. Epochs of different groups are assumed to be
#: distinct, and an order with another epoch is refused.
OTHER_EPOCH = 1000


class SimulatedGroup(Simulation):
    """One of the two groups, which uses the clock of the pair."""

    def __init__(self, seed, pair, epoch, make_switch):
        self.pair = pair
        super().__init__(seed, make_switch)
        self.engines.epoch = epoch

    @property
    def now(self):
        return self.pair.now

    @now.setter
    def now(self, _):
        """Ignore assignments: the pair advances the clock of both groups."""

    def schedule(self, after_s, callback):
        self.pair.schedule(after_s, callback)

    def next_version(self):
        return 1 + max(group.plan[1] for group in self.pair.groups)

    def target(self, order):
        """Return the rank that receives an order."""
        return self.engines.ranks[order.rank]

    def send(self, sender, order):
        """Deliver an order to its rank: now, late or never."""
        rank = self.target(order)
        roll = 99 if self.is_fault_free else self.rng.randrange(100)
        if roll < 35:
            if roll >= 10:
                late_s = self.rng.uniform(0.5, 12)
                self.schedule(late_s, lambda: self.pair.execute(rank, order))
            self._reply(sender, order, Reply.LOST, 0.4)
            return
        switch = sender.switch
        self.schedule(
            self.rng.uniform(0.001, 0.01),
            lambda: self._execute_and_reply(sender, switch, rank, order),
        )

    def _execute_and_reply(self, sender, switch, rank, order):
        is_accepted = self.pair.execute(rank, order)
        reply = Reply.ACCEPTED if is_accepted else Reply.REFUSED
        self._deliver_reply(sender, switch, order, reply)

    def _inject_fault(self):
        """Do nothing: the pair injects the faults."""


class MisroutingGroup(SimulatedGroup):
    """Sends one of ten orders to the same rank number of the other group."""

    def target(self, order):
        others = [group for group in self.pair.groups if group is not self]
        if others and self.rng.randrange(10) == 0:
            return others[0].engines.ranks[order.rank]
        return super().target(order)


class OwnVersionsGroup(SimulatedGroup):
    """Numbers the plan versions of each group independently."""

    def next_version(self):
        return self.plan[1] + 1


class PairSimulation:
    """Schedules the events and faults of both groups."""

    #: Whether groups that exchange a rank start a new epoch, as required.
    changes_epoch = True

    def __init__(self, seed, group=SimulatedGroup, other_epoch=OTHER_EPOCH):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.is_fault_free = False
        self._events = []
        self._numbers = count()
        self.groups = []
        for number, epoch in enumerate((1, other_epoch)):
            self.groups.append(
                group(2 * seed + number, self, epoch, DirectSwitch)
            )
        self.schedule(0.5, self._inject_fault)

    def schedule(self, after_s, callback):
        entry = (self.now + after_s, next(self._numbers), callback)
        heapq.heappush(self._events, entry)

    def run(self, span_s):
        end = self.now + span_s
        while self._events[0][0] <= end:
            entry = heapq.heappop(self._events)
            self.now = entry[0]
            entry[2]()
        self.now = end

    def settle(self):
        self.is_fault_free = True
        for group in self.groups:
            group.is_fault_free = True
        self.run(40)

    def execute(self, rank, order):
        """Execute an order at its rank, in the rank's current group."""
        for group in self.groups:
            if rank in group.engines.ranks:
                number = group.engines.ranks.index(rank)
                return group.engines.execute(
                    order._replace(rank=number), self.now
                )
        return False

    def exchange_ranks(self):
        """Exchange a rank between the groups, which both start a new epoch."""
        first, second = (group.engines for group in self.groups)
        one, other = (self.rng.randrange(RANKS) for _ in range(2))
        moved = first.ranks[one]
        first.ranks[one] = second.ranks[other]
        second.ranks[other] = moved
        if self.changes_epoch:
            first.crash()
            second.crash()

    def _inject_fault(self):
        if self.is_fault_free:
            return
        match self.rng.randrange(8):
            case 0:
                self.rng.choice(self.groups).engines.crash()
            case 1 | 2:
                self.exchange_ranks()
            case 3 | 4 | 5:
                self._replace_leader(dies=self.rng.randrange(2) == 0)
            case _:
                until = self.now + self.rng.uniform(0, 3)
                for group in self.groups:
                    group.leader.frozen_until = until
        self.schedule(self.rng.uniform(0.3, 4), self._inject_fault)

    def _replace_leader(self, *, dies):
        """Elect a new leader for both groups."""
        wakes_at = self.now + self.rng.uniform(0, 6)
        for group in self.groups:
            old = group.leader
            old.is_replaced = True
            old.is_stopped = dies
            if not dies:
                old.frozen_until = wakes_at
            group.leader = Coordinator(group, DirectSwitch)
            group.schedule(1.0, group.leader.run)


class UnchangedEpochPair(PairSimulation):
    """Fault: ranks change groups, with their orders, without a new epoch."""

    changes_epoch = False
