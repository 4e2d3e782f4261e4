"""Refusals that name who is to blame."""

from __future__ import annotations

import unittest

from snipebend.relay.upstream_groups import LOST_RANK_AVOIDANCE_S
from snipebend.state.host_news import GroupPhase, GroupStanding
from tests.edge.rig import read_response, request, running
from tests.edge.test_relay import answer

#: Of a rank that nobody called.
ELSEWHERE = '10.9.9.9:80'


class TestBlame(unittest.IsolatedAsyncioTestCase):
    """A group is left when another rank of it is lost, not when one is full."""

    async def ask(self, faulty_address):
        """Be refused by the one rank; tell whether its group is left."""

        async def refuse(req, writer):
            blamed = faulty_address or relay.upstreams[0].address
            lines = f'X-Not-Run: 1\r\nX-At-Fault: {blamed}\r\n'
            writer.write(answer(req, b'', '503 Busy', lines))

        async with running(refuse) as relay:
            standing = GroupStanding('g', 's', GroupPhase.OPEN, ('i-0',))
            relay.desk._upstreams.apply_group_statuses([standing])
            group = relay.desk._upstreams.find('i-0').group
            reader, writer = await relay.connect()
            writer.write(request('/unsafe/'))
            got = await read_response(reader)
            writer.close()
            self.assertEqual(got.status, 503)
            return group.is_down(relay.desk.now() - LOST_RANK_AVOIDANCE_S / 2)

    async def test_a_rank_that_is_full_names_itself(self):
        self.assertFalse(await self.ask(''))

    async def test_another_rank_is_lost(self):
        self.assertTrue(await self.ask(ELSEWHERE))
