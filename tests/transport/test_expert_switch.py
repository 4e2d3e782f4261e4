"""A failed control leader must not leave ranks with different expert maps.

The control leader dies at each stage of an expert map switch, or is isolated
and continues to send orders while its successor switches the same ranks. No
rank may then execute a stale order.
"""

from __future__ import annotations

import time
import unittest

from msgspec.structs import replace

from snipebend.console.demo_fleet import FLEET
from snipebend.orders.issuer import OrderIssuer
from snipebend.orders.messages import EngineOrder, OrderOutcome, OrderReply
from snipebend.state.commands import TakeFence
from snipebend.transport.rank_methods import ORDER
from tests.transport.switch_environment import (
    GROUP,
    LEASE,
    ScriptedPlanner,
    SwitchEnvironment,
)

_FLEET = (
    FLEET.replace('ranks = 4', 'ranks = 3')
    .replace('experts_per_rank = 5', 'experts_per_rank = 6')
    .replace('expert_bytes = 1000000', 'expert_bytes = 100000')
)


class LeaderDeathTest(unittest.IsolatedAsyncioTestCase):
    """The next leader completes the switch of the previous one.

    A switch without a decision is abandoned, a decided one must be activated.
    """

    async def test_death_before_the_decision(self) -> None:
        async with SwitchEnvironment(_FLEET) as env:
            first = await self._first_map(env)
            self._fail_during_switch(env, 'die-before')
            await env.wait_until(lambda: env.leaders[0].isolated)
            self.assertEqual(set(env.stamps()), {first})
            env.leaders[1].leads = True
            ScriptedPlanner.pending_plans = 1
            last = await env.wait_for_map(first.map_version + 2)
            self._check_activations(env, last.map_version)

    async def test_death_after_the_decision(self) -> None:
        async with SwitchEnvironment(_FLEET) as env:
            first = await self._first_map(env)
            # The ranks can't read the decision, so only the next leader sends
            # it.
            env.store.unavailable = True
            self._fail_during_switch(env, 'die-after')
            await env.wait_until(lambda: env.leaders[0].isolated)
            self.assertEqual(set(env.stamps()), {first})
            env.leaders[1].leads = True
            last = await env.wait_for_map(first.map_version + 1)
            self._check_activations(env, last.map_version)

    async def test_death_before_the_last_activation(self) -> None:
        async with SwitchEnvironment(_FLEET) as env:
            first = await self._first_map(env)
            fences = env.store.machine.state.fences
            env.ranks[2].lost_fence = fences.read(GROUP).fence
            env.store.unavailable = True
            ScriptedPlanner.pending_plans = 1
            await env.wait_until(
                lambda: env.decided_version() > first.map_version
            )
            version = env.decided_version()
            await env.wait_until(lambda: all(env.has_activated(version)[:2]))
            env.leaders[0].crash()
            self.assertEqual(env.has_activated(version), [True, True, False])
            env.leaders[1].leads = True
            await env.wait_for_map(version)
            self._check_activations(env, version)

    async def test_isolated_leader_believes_it_is_in_charge(self) -> None:
        async with SwitchEnvironment(_FLEET) as env:
            first = await self._first_map(env)
            self._fail_during_switch(env, 'isolate')
            await env.wait_until(lambda: env.leaders[0].isolated)
            env.leaders[1].leads = True
            ScriptedPlanner.pending_plans = 1
            last = await env.wait_for_map(first.map_version + 2)
            self._check_activations(env, last.map_version)
            # The old leader still assumes leadership, but its lease has
            # expired.
            self.assertTrue(env.leaders[0].leads)
            dump = env.services[0].dump()
            self.assertEqual(dump[GROUP]['phase'], 'waiting-for-fence')

    async def _first_map(self, env: SwitchEnvironment):
        ScriptedPlanner.pending_plans = 0
        env.leaders[0].leads = True
        return await env.wait_for_map(1)

    def _fail_during_switch(self, env: SwitchEnvironment, when: str) -> None:
        env.leaders[0].on_decide = lambda: when
        ScriptedPlanner.pending_plans = 1

    def _check_activations(self, env: SwitchEnvironment, version: int) -> None:
        """Check that all ranks activated the decided map.

        Each version must have one target and step on all ranks.
        """
        activated: dict[int, tuple[str, int]] = {}
        for orders in env.activations():
            for order in orders:
                content = (order['target'], order['at_step'])
                known = activated.setdefault(order['map_version'], content)
                self.assertEqual(known, content)
            versions = [activation['map_version'] for activation in orders]
            self.assertIn(version, versions)
        decision = env.store.machine.state.maps.read(GROUP).record.decision
        self.assertEqual(activated[version], (decision.digest, decision.step))


class IsolatedLeaderTest(unittest.IsolatedAsyncioTestCase):
    """An isolated leader's orders have no effect.

    The engine ignores fences, so agents and issuers must stop the orders.
    """

    async def test_orders_of_the_former_holder(self) -> None:
        async with SwitchEnvironment(_FLEET) as env:
            machine = env.store.machine
            issuers = [OrderIssuer(LEASE, GROUP, name) for name in 'ab']
            old, new = issuers
            now = time.time()
            old.apply_reply(machine.execute(TakeFence(old.request(now), now)))
            first = self._write(old, 'role-of-old')
            late = replace(first, target='late', deadline_at=now + 60)
            reply = await self._order(env, first)
            self.assertIs(reply.outcome, OrderOutcome.EXECUTED)

            def has_taken_fence() -> bool:
                moment = time.time()
                req = new.request(moment)
                new.apply_reply(machine.execute(TakeFence(req, moment)))
                return new.write(
                    EngineOrder('load', GROUP, 0, 0), 'ignored', moment
                ).is_ok()

            await env.wait_until(has_taken_fence)
            # Both the old holder's check of its lease and the order's deadline
            # prevent the order.
            draft = EngineOrder('role', GROUP, 0, 0)
            self.assertTrue(old.write(draft, 'ignored', time.time()).is_err())
            reply = await self._order(env, first)
            self.assertIs(reply.outcome, OrderOutcome.REFUSED)
            self.assertIn('deadline', reply.reason)
            # A restarted agent reads the fence first, so that it refuses a
            # stale order even if a clock is wrong and its deadline hasn't
            # passed.
            env.agents[0] = await env.start_agent(0)
            reply = await self._order(env, late)
            self.assertIs(reply.outcome, OrderOutcome.REFUSED)
            self.assertIn('stale', reply.reason)
            order = self._write(new, 'role-of-new')
            reply = await self._order(env, order)
            self.assertIs(reply.outcome, OrderOutcome.EXECUTED)
            self.assertIs(
                (await self._order(env, late)).outcome,
                OrderOutcome.REFUSED,
            )
            executed = b''.join(map(bytes, env.engines[0].orders.executed))
            self.assertNotIn(b'late', executed)
            self.assertEqual(len(env.engines[0].orders.executed), 2)

    def _write(self, issuer: OrderIssuer, target: str) -> EngineOrder:
        draft = EngineOrder('role', GROUP, 0, 0, target=target)
        return issuer.write(draft, 'ignored', time.time()).unwrap()

    async def _order(
        self, env: SwitchEnvironment, order: EngineOrder
    ) -> OrderReply:
        answer = await env.clients.call(env.agents[0], ORDER, order, timeout=5)
        return answer.unwrap()


if __name__ == '__main__':
    unittest.main()
