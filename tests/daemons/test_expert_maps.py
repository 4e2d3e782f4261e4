"""All ranks must activate the same expert maps when processes are killed.

In a group of real processes a rank is lost, the others switch to a new map, and
the control leader is killed during that switch. The lost rank then rejoins.
"""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from contextlib import AsyncExitStack, redirect_stdout
from io import StringIO
from pathlib import Path
from typing import Any

from aiohttp import ClientSession

from snipebend.console.application import main
from snipebend.console.demo_fleet import FLEET
from snipebend.orders.expert_load import GroupStatus, GroupStatusQuery
from snipebend.transport.rank_methods import GROUP_STATUS
from tests.daemons.control_group import ControlGroup, control_group, until
from tests.programs import Program, agent_toml, start_daemon, start_standin

RANKS = 3
_FLEET = (
    FLEET.replace('ranks = 4', f'ranks = {RANKS}')
    .replace('experts_per_rank = 5', 'experts_per_rank = 8')
    .replace('expert_bytes = 1000000', 'expert_bytes = 10000')
    .replace('fencing = "checked"', 'fencing = "ignored"')
)
_ENGINE = ('--model', 'drafter', '--step-ms', '40', '--layers', '2')


class ExpertMapsTest(unittest.IsolatedAsyncioTestCase):
    """All ranks activate the same map; each version has a single content.

    This also holds if a rank is lost and the leader is killed in a switch.
    """

    async def asyncSetUp(self) -> None:
        name = tempfile.TemporaryDirectory()
        self.addCleanup(name.cleanup)
        self.folder = Path(name.name)
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.session = await self.stack.enter_async_context(ClientSession())
        self.engines: list[str] = []

    async def test_leader_killed_during_a_switch(self) -> None:
        group = await self.stack.enter_async_context(control_group(self.folder))
        agents = []
        for number in range(RANKS):
            await self.start_engine(number)
            agents.append(await self.start_agent(group, number))
        await group.apply('c-1', 0, _FLEET)
        await until(lambda: self.have_one_map(3, 1))
        # A rank is lost: the others form a new incarnation without it.
        await agents[-1].kill()
        leader = await group.leader()
        await until(lambda: self.is_switching(group, leader))
        await group.kill(leader)
        await until(lambda: self.have_one_map(2, 2))
        # It restarts and rejoins in a newer incarnation.
        await self.start_agent(group, RANKS - 1)
        await until(lambda: self.have_one_map(3, 3))
        await self.check_activations()
        await self.check_status(group)

    async def start_engine(self, number: int) -> None:
        engine = await start_standin(self.folder, f'engine-{number}', *_ENGINE)
        self.stack.push_async_callback(engine.kill)
        self.engines.append(engine.addresses['http'])

    async def start_agent(self, group: ControlGroup, number: int) -> Program:
        name = f'agent-{number}'
        control = ','.join(group.addresses())
        toml = agent_toml(name, control, 'drafting', self.engines[number])
        agent = await start_daemon('agent', self.folder, name, toml)
        self.stack.push_async_callback(agent.kill)
        return agent

    async def have_one_map(self, ranks: int, incarnation: int) -> bool:
        """Return whether the first engines have the same map.

        Its incarnation must be at least ``incarnation``.
        """
        states = await asyncio.gather(
            *(self.read(address, 'ranks') for address in self.engines[:ranks]),
        )
        stamps = {
            (state['incarnation'], state['map_version']) for state in states
        }
        return len(stamps) == 1 and min(stamps)[0] >= incarnation

    async def is_switching(self, group: ControlGroup, leader: str) -> bool:
        status = await self.status(group, leader)
        return status is not None and status.phase in {
            'preparing',
            'persisting',
            'activating',
        }

    async def status(
        self, group: ControlGroup, leader: str
    ) -> GroupStatus | None:
        answer = await group.clients.call(
            group.address(leader), GROUP_STATUS, GroupStatusQuery(), timeout=2
        )
        groups = answer.unwrap().groups if answer.is_ok() else ()
        return groups[0] if groups else None

    async def check_activations(self) -> None:
        activations: dict[int, tuple[str, int]] = {}
        for address in self.engines:
            for order in await self.read(address, 'orders'):
                if order['action'] != 'activate':
                    continue
                content = (order['target'], order['at_step'])
                known = activations.setdefault(order['map_version'], content)
                self.assertEqual(known, content)
        self.assertGreaterEqual(len(activations), 3)

    async def check_status(self, group: ControlGroup) -> None:
        """The ``status`` command shows the group that the leader manages."""
        printed = StringIO()
        control = ','.join(group.addresses())
        with redirect_stdout(printed):
            await asyncio.to_thread(main, ['status', '--control', control])
        lines = printed.getvalue().splitlines()
        shown = [line for line in lines if line.startswith('group drafting')]
        self.assertIn('members=3', ''.join(shown))

    async def read(self, address: str, path: str) -> Any:
        async with self.session.get(f'http://{address}/{path}') as resp:
            return await resp.json()


if __name__ == '__main__':
    unittest.main()
