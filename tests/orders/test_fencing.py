"""No order of a former holder may run after one of its successor.

Orders are delayed on the way, clocks differ, agents restart, and some engines
ignore fences. Unless the next holder waits until the previous lease, which
bounds the deadlines of all its orders, has expired by every clock, such an
engine can execute an older order after a newer one.
"""

from __future__ import annotations

import unittest
from random import Random

from msgspec.structs import replace

from snipebend.errors.hierarchy import ConflictError, UnavailableError
from snipebend.orders.fencing import FenceGate
from snipebend.orders.issuer import IssuerConfig, OrderIssuer
from snipebend.orders.messages import EngineOrder
from snipebend.state.fence_state import FenceState

CFG = IssuerConfig()
DRAFT = EngineOrder('load', 'g', 0, 0)
SCHEDULES = 300


class FenceGateTest(unittest.TestCase):
    """Refuses stale or expired orders, and any before a fence is known."""

    def test_restart_stale_fence_and_deadline(self) -> None:
        gate = FenceGate()
        order = EngineOrder('load', 'g', 4, deadline_at=10)
        unread = gate.admit(order, 1).unwrap_err()
        self.assertIsInstance(unread, UnavailableError)
        gate.record_fence('g', 3)
        self.assertTrue(gate.admit(order, 1).is_ok())
        stale = gate.admit(replace(order, fence=3), 1).unwrap_err()
        self.assertIsInstance(stale, ConflictError)
        self.assertTrue(gate.admit(order, 10).is_err())
        gate.record_fence('g', 2)
        self.assertEqual(gate.fence('g'), 4)


class IssuerTest(unittest.TestCase):
    """Orders to engines that ignore fences wait until older ones expired."""

    def test_waits_for_engines_that_ignore_fences(self) -> None:
        book = FenceState()
        old = OrderIssuer(CFG, 'g', 'old')
        new = OrderIssuer(CFG, 'g', 'new')
        old.apply_reply(book.take(old.request(0), 0))
        last = old.write(DRAFT, 'ignored', 5).unwrap()
        self.assertLessEqual(last.deadline_at, 6 - CFG.drift_s)
        self.assertTrue(old.write(DRAFT, 'ignored', 5.9).is_err())
        self.assertFalse(new.apply_reply(book.take(new.request(5.9), 5.9)))
        self.assertTrue(new.apply_reply(book.take(new.request(6), 6)))
        self.assertTrue(new.write(DRAFT, 'checked', 6).is_ok())
        self.assertTrue(new.write(DRAFT, 'ignored', 6.1).is_err())
        self.assertTrue(new.write(DRAFT, 'ignored', 6.5).is_ok())
        self.assertFalse(new.apply_reply(book.take(new.request(9), 9)))
        self.assertEqual(new.fence, 2)

    def test_no_order_of_old_holder_after_new_holder(self) -> None:
        """Orders are delayed, clocks differ and engines ignore fences."""
        executed = 0
        for seed in range(SCHEDULES):
            fences = Orders(seed, OrderIssuer).run()
            executed += len(fences)
            self.assertEqual(fences, sorted(fences), seed)
        self.assertGreater(executed, SCHEDULES * 10)

    def test_holder_that_does_not_wait_is_detected(self) -> None:
        runs = (
            Orders(seed, NonWaitingIssuer).run() for seed in range(SCHEDULES)
        )
        self.assertTrue(any(fences != sorted(fences) for fences in runs))


class NonWaitingIssuer(OrderIssuer):
    """Fault: does not wait until the previous lease has expired."""

    def orders_allowed_at(self, fencing: str) -> float:
        return 0


class Orders:
    """Simulates two holders, an agent that restarts and a slow engine."""

    def __init__(self, seed: int, issuer: type[OrderIssuer]) -> None:
        self.rng = Random(seed)
        self.now = 0.0
        self.book = FenceState()
        self.issuer_type = issuer
        self.issuers = [issuer(CFG, 'g', str(number)) for number in range(2)]
        # The clock of the leader, which decides on leases, is the reference.
        half = CFG.drift_s / 2
        self.skews = [self.rng.uniform(-half, half) for _ in range(3)]
        self.in_flight: list[EngineOrder] = []
        self.executions: list[tuple[float, int]] = []
        self.restart_agent()

    def run(self) -> list[int]:
        """Return the fences in the sequence of execution by the engine."""
        actions = (
            self.take,
            self.write,
            self.deliver,
            self.restart_agent,
            self.restart_holder,
        )
        for action in self.rng.choices(actions, (6, 12, 12, 2, 1), k=400):
            self.now += self.rng.uniform(0, 0.2)
            action()
        return [fence for _, fence in sorted(self.executions)]

    def restart_agent(self) -> None:
        self.gate = FenceGate()
        self.gate.record_fence('g', self.book.read('g').fence)

    def restart_holder(self) -> None:
        """Restart a holder without its fence; its orders stay in flight.

        The restarted holder has the same name.
        """
        number = self.rng.randrange(2)
        self.issuers[number] = self.issuer_type(CFG, 'g', str(number))

    def take(self) -> None:
        number = self.rng.randrange(2)
        issuer = self.issuers[number]
        local = self.now + self.skews[number]
        if issuer.needs_renewal(local):
            issuer.apply_reply(self.book.take(issuer.request(local), self.now))

    def write(self) -> None:
        number = self.rng.randrange(2)
        local = self.now + self.skews[number]
        draft = self.issuers[number].write(DRAFT, 'ignored', local)
        if draft.is_ok():
            self.in_flight.append(draft.unwrap())

    def deliver(self) -> None:
        """Forward a delayed order; the agent cancels it at its deadline."""
        if not self.in_flight:
            return
        order = self.in_flight.pop(self.rng.randrange(len(self.in_flight)))
        local = self.now + self.skews[-1]
        if self.gate.admit(order, local).is_ok():
            left = order.deadline_at - local
            moment = self.now + self.rng.uniform(0, left)
            self.executions.append((moment, order.fence))


if __name__ == '__main__':
    unittest.main()
