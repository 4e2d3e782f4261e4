"""Leaders that die in a switch, and one that is isolated and still orders."""

from __future__ import annotations

import time
import unittest

from msgspec.structs import replace

from snipebend.console.demo_fleet import FLEET
from snipebend.orders.issuer import OrderIssuer
from snipebend.orders.messages import EngineOrder, OrderOutcome, OrderReply
from snipebend.state.commands import TakeFence
from snipebend.transport.rank_methods import ORDER
from tests.transport.switch_rig import GROUP, LEASE, Rig, ShiftPlanner

_FLEET = (
    FLEET.replace('ranks = 4', 'ranks = 3')
    .replace('experts_per_rank = 5', 'experts_per_rank = 6')
    .replace('expert_bytes = 1000000', 'expert_bytes = 100000')
)


class LeaderDeathTest(unittest.IsolatedAsyncioTestCase):
    """The next leader ends what the former one has begun."""

    async def test_death_before_the_decision(self) -> None:
        async with Rig(_FLEET) as rig:
            first = await self._first_map(rig)
            self._shift_and_die(rig, 'die-before')
            await rig.until(lambda: rig.leaders[0].cut)
            self.assertEqual(set(rig.stamps()), {first})
            rig.leaders[1].leads = True
            ShiftPlanner.wanted = 1
            last = await rig.until_all_at(first.map_version + 2)
            self._check_activations(rig, last.map_version)

    async def test_death_after_the_decision(self) -> None:
        async with Rig(_FLEET) as rig:
            first = await self._first_map(rig)
            # Only the next leader can tell the ranks.
            rig.store.mute = True
            self._shift_and_die(rig, 'die-after')
            await rig.until(lambda: rig.leaders[0].cut)
            self.assertEqual(set(rig.stamps()), {first})
            rig.leaders[1].leads = True
            last = await rig.until_all_at(first.map_version + 1)
            self._check_activations(rig, last.map_version)

    async def test_death_before_the_last_activation(self) -> None:
        async with Rig(_FLEET) as rig:
            first = await self._first_map(rig)
            fences = rig.store.machine.state.fences
            rig.ranks[2].deaf_to = fences.read(GROUP).fence
            rig.store.mute = True
            ShiftPlanner.wanted = 1
            await rig.until(lambda: rig.decided() > first.map_version)
            version = rig.decided()
            await rig.until(lambda: all(rig.activated(version)[:2]))
            rig.leaders[0].die()
            self.assertEqual(rig.activated(version), [True, True, False])
            rig.leaders[1].leads = True
            await rig.until_all_at(version)
            self._check_activations(rig, version)

    async def test_isolated_leader_believes_it_is_in_charge(self) -> None:
        async with Rig(_FLEET) as rig:
            first = await self._first_map(rig)
            self._shift_and_die(rig, 'isolate')
            await rig.until(lambda: rig.leaders[0].cut)
            rig.leaders[1].leads = True
            ShiftPlanner.wanted = 1
            last = await rig.until_all_at(first.map_version + 2)
            self._check_activations(rig, last.map_version)
            # It still leads in its own eyes, but its lease has ended.
            self.assertTrue(rig.leaders[0].leads)
            dump = rig.services[0].dump()
            self.assertEqual(dump[GROUP]['phase'], 'waiting-for-fence')

    async def _first_map(self, rig: Rig):
        ShiftPlanner.wanted = 0
        rig.leaders[0].leads = True
        return await rig.until_all_at(1)

    def _shift_and_die(self, rig: Rig, when: str) -> None:
        rig.leaders[0].on_decide = lambda: when
        ShiftPlanner.wanted = 1

    def _check_activations(self, rig: Rig, version: int) -> None:
        """All ranks activated the decided map, each version at one step."""
        seen: dict[int, tuple[str, int]] = {}
        for orders in rig.activations():
            for order in orders:
                content = (order['target'], order['at_step'])
                known = seen.setdefault(order['map_version'], content)
                self.assertEqual(known, content)
            versions = [activation['map_version'] for activation in orders]
            self.assertIn(version, versions)
        decision = rig.store.machine.state.maps.read(GROUP).record.decision
        self.assertEqual(seen[version], (decision.digest, decision.step))


class IsolatedLeaderTest(unittest.IsolatedAsyncioTestCase):
    """Its orders have no effect on an engine that ignores fences."""

    async def test_orders_of_the_former_holder(self) -> None:
        async with Rig(_FLEET) as rig:
            machine = rig.store.machine
            issuers = [OrderIssuer(LEASE, GROUP, name) for name in 'ab']
            old, new = issuers
            now = time.time()
            old.apply_reply(machine.execute(TakeFence(old.request(now), now)))
            first = self._write(old, 'role-of-old')
            late = replace(first, target='late', deadline_at=now + 60)
            reply = await self._order(rig, first)
            self.assertIs(reply.outcome, OrderOutcome.EXECUTED)

            def take() -> bool:
                moment = time.time()
                req = new.request(moment)
                new.apply_reply(machine.execute(TakeFence(req, moment)))
                return new.write(
                    EngineOrder('load', GROUP, 0, 0), 'ignored', moment
                ).is_ok()

            await rig.until(take)
            # The old holder's own check stops it, as does the deadline.
            draft = EngineOrder('role', GROUP, 0, 0)
            self.assertTrue(old.write(draft, 'ignored', time.time()).is_err())
            reply = await self._order(rig, first)
            self.assertIs(reply.outcome, OrderOutcome.REFUSED)
            self.assertIn('deadline', reply.reason)
            # A restarted agent reads the fence first; a clock may be wrong.
            rig.agents[0] = await rig.start_agent(0)
            reply = await self._order(rig, late)
            self.assertIs(reply.outcome, OrderOutcome.REFUSED)
            self.assertIn('stale', reply.reason)
            order = self._write(new, 'role-of-new')
            reply = await self._order(rig, order)
            self.assertIs(reply.outcome, OrderOutcome.EXECUTED)
            self.assertIs(
                (await self._order(rig, late)).outcome,
                OrderOutcome.REFUSED,
            )
            executed = b''.join(map(bytes, rig.engines[0].orders.executed))
            self.assertNotIn(b'late', executed)
            self.assertEqual(len(rig.engines[0].orders.executed), 2)

    def _write(self, issuer: OrderIssuer, target: str) -> EngineOrder:
        draft = EngineOrder('role', GROUP, 0, 0, target=target)
        return issuer.write(draft, 'ignored', time.time()).unwrap()

    async def _order(self, rig: Rig, order: EngineOrder) -> OrderReply:
        answer = await rig.clients.call(rig.agents[0], ORDER, order, timeout=5)
        return answer.unwrap()


if __name__ == '__main__':
    unittest.main()
