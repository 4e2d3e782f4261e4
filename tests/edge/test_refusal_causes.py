"""Ensures that a group is avoided only if it has lost a rank.

A rank refuses requests when it is full, or when its group has lost another
rank; the refusal names the upstream at fault. Only in the second case do the
other ranks of the group refuse as well.
"""

from __future__ import annotations

import unittest

from snipebend.relay.upstream_groups import LOST_RANK_AVOIDANCE_S
from snipebend.state.host_updates import GroupPhase, UpstreamGroupStatus
from tests.edge.relay_fixture import read_response, request, running
from tests.edge.test_relay import encode_response

#: Address of a rank that is not called.
OTHER_RANK = '10.9.9.9:80'


class TestRefusalCauses(unittest.IsolatedAsyncioTestCase):
    """A group is avoided if another rank is lost, not if one is full."""

    async def is_group_avoided(self, faulty_address):
        """Be refused by the only rank; return whether its group is avoided."""

        async def refuse(req, writer):
            cause = faulty_address or relay.upstreams[0].address
            lines = f'X-Not-Run: 1\r\nX-At-Fault: {cause}\r\n'
            writer.write(encode_response(req, b'', '503 Busy', lines))

        async with running(refuse) as relay:
            status = UpstreamGroupStatus('g', 's', GroupPhase.OPEN, ('i-0',))
            relay.service._upstreams.apply_group_statuses([status])
            group = relay.service._upstreams.find('i-0').group
            reader, writer = await relay.connect()
            writer.write(request('/unsafe/'))
            got = await read_response(reader)
            writer.close()
            self.assertEqual(got.status, 503)
            return group.is_down(
                relay.service.now() - LOST_RANK_AVOIDANCE_S / 2
            )

    async def test_full_rank_names_itself(self):
        self.assertFalse(await self.is_group_avoided(''))

    async def test_lost_rank_is_named(self):
        self.assertTrue(await self.is_group_avoided(OTHER_RANK))
