"""A response that is never read must not hold a slot of the upstream.

The agent's ``AttemptGuard`` admits attempts and counts the running ones. If the
relay had an attempt admitted before its response stream is read, an attempt
whose stream is never read would count as running for ever. The test serves a
request and does not iterate over the stream.
"""

from __future__ import annotations

import unittest

import msgspec
from falcon.asgi import Response
from falcon.testing import create_asgi_req

from snipebend.daemons.agent import build_agent
from snipebend.delivery.messages import (
    AttemptTicket,
    SealRequest,
    SealVerdict,
)
from snipebend.settings.model import AgentSettings
from snipebend.transport.problems import TICKET_HEADER
from snipebend.transport.upstream_api import UpstreamRelay

_UNREACHABLE = '127.0.0.1:1'


class UpstreamRelayTest(unittest.IsolatedAsyncioTestCase):
    """An attempt is admitted when its response is first read."""

    async def test_unread_response_holds_no_slot(self) -> None:
        process = build_agent(
            AgentSettings.from_table(
                {
                    'process': {'name': 'agent', 'data_center': 'dc-1'},
                    'listen': {'grace_s': 0.0},
                    'control': {'addresses': [_UNREACHABLE]},
                    'upstream': {'policy': 'drafting', 'address': _UNREACHABLE},
                },
            ),
        )
        await process.start()
        relay = process.registry.find('relay', UpstreamRelay)
        ticket = AttemptTicket(
            'r-1',
            1,
            relay.incarnation,
            process.registry.clock.wall() + 60,
        )
        header = msgspec.json.encode(ticket).decode()
        req = create_asgi_req(headers={TICKET_HEADER: header})
        resp = Response()
        await relay._serve(req, resp)
        reply = await relay.seal(
            SealRequest('r-1', 1, relay.incarnation, ticket.deadline_at),
        )
        self.assertIs(reply.verdict, SealVerdict.NOT_RUN)
        await process.stop()
