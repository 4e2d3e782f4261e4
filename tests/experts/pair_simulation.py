"""Two groups under one leader, on one virtual time.

Each group has its own switch; the leader's deaths and freezes concern both.
Orders go to a rank, not to a place in a group: one that is carried out late may
find its rank in the other group.
"""

from __future__ import annotations

import heapq
import random
from itertools import count

from snipebend.experts.direct_orders import Reply
from snipebend.experts.direct_switch import DirectSwitch
from tests.experts.direct_simulation import RANKS, Coordinator, Simulation

#: Epochs of the second group begin here: those of two groups aren't taken to
#: coincide, and an order that carries another epoch is refused.
OTHER_EPOCH = 1000


class Half(Simulation):
    """One of the groups."""

    def __init__(self, seed, pair, epoch, make):
        self.pair = pair
        super().__init__(seed, make)
        self.engines.epoch = epoch

    @property
    def now(self):
        return self.pair.now

    @now.setter
    def now(self, _):
        """Time passes for both."""

    def at(self, after_s, act):
        self.pair.at(after_s, act)

    def next_version(self):
        return 1 + max(half.plan[1] for half in self.pair.halves)

    def target(self, order):
        """Return the rank that an order is sent to."""
        return self.engines.ranks[order.rank]

    def send(self, sender, order):
        """Bring an order to its rank: now, late or never."""
        rank = self.target(order)
        draw = 99 if self.quiet else self.rng.randrange(100)
        if draw < 35:
            if draw >= 10:
                late_s = self.rng.uniform(0.5, 12)
                self.at(late_s, lambda: self.pair.obey(rank, order))
            self._reply(sender, order, Reply.LOST, 0.4)
            return
        switch = sender.switch
        self.at(
            self.rng.uniform(0.001, 0.01),
            lambda: self._carry_out(sender, switch, rank, order),
        )

    def _carry_out(self, sender, switch, rank, order):
        fits = self.pair.obey(rank, order)
        reply = Reply.ACCEPTED if fits else Reply.REFUSED
        self._note(sender, switch, order, reply)

    def _fault(self):
        """Faults come to the pair."""


class CrossedHalf(Half):
    """Sends one order of ten to the other group's rank of that number."""

    def target(self, order):
        others = [half for half in self.pair.halves if half is not self]
        if others and self.rng.randrange(10) == 0:
            return others[0].engines.ranks[order.rank]
        return super().target(order)


class ApartHalf(Half):
    """Numbers its plans by itself."""

    def next_version(self):
        return self.plan[1] + 1


class Pair:
    """Both groups, and what befalls them."""

    #: Whether groups that exchange a rank form anew, as they should.
    forms_anew = True

    def __init__(self, seed, half=Half, other_epoch=OTHER_EPOCH):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.quiet = False
        self._events = []
        self._numbers = count()
        self.halves = []
        for number, epoch in enumerate((1, other_epoch)):
            self.halves.append(
                half(2 * seed + number, self, epoch, DirectSwitch)
            )
        self.at(0.5, self._fault)

    def at(self, after_s, act):
        entry = (self.now + after_s, next(self._numbers), act)
        heapq.heappush(self._events, entry)

    def run(self, span_s):
        end = self.now + span_s
        while self._events[0][0] <= end:
            entry = heapq.heappop(self._events)
            self.now = entry[0]
            entry[2]()
        self.now = end

    def settle(self):
        self.quiet = True
        for half in self.halves:
            half.quiet = True
        self.run(40)

    def obey(self, rank, order):
        """Carry an order out at its rank, wherever that belongs now."""
        for half in self.halves:
            if rank in half.engines.ranks:
                place = half.engines.ranks.index(rank)
                return half.engines.obey(order._replace(rank=place), self.now)
        return False

    def exchange(self):
        """Let the groups exchange a rank; both form anew."""
        first, second = (half.engines for half in self.halves)
        one, other = (self.rng.randrange(RANKS) for _ in range(2))
        moved = first.ranks[one]
        first.ranks[one] = second.ranks[other]
        second.ranks[other] = moved
        if self.forms_anew:
            first.crash()
            second.crash()

    def _fault(self):
        if self.quiet:
            return
        match self.rng.randrange(8):
            case 0:
                self.rng.choice(self.halves).engines.crash()
            case 1 | 2:
                self.exchange()
            case 3 | 4 | 5:
                self._replace_leader(dies=self.rng.randrange(2) == 0)
            case _:
                until = self.now + self.rng.uniform(0, 3)
                for half in self.halves:
                    half.leader.frozen_until = until
        self.at(self.rng.uniform(0.3, 4), self._fault)

    def _replace_leader(self, *, dies):
        """Elect another one for both groups."""
        wakes_at = self.now + self.rng.uniform(0, 6)
        for half in self.halves:
            old = half.leader
            old.replaced = True
            old.ended = dies
            if not dies:
                old.frozen_until = wakes_at
            half.leader = Coordinator(half, DirectSwitch)
            half.at(1.0, half.leader.run)


class TornPair(Pair):
    """Ranks change groups without a new epoch, their orders with them."""

    forms_anew = False
