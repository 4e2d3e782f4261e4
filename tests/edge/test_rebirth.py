"""Guards against state that outlives the incarnation of an upstream.

An upstream can start again under its identity, at the same or another address,
while calls to its former incarnation still run at an entry.
"""

from __future__ import annotations

import asyncio
import unittest

from msgspec import structs

from snipebend.relay.facts import AnnouncedLimit, ResponseFacts
from snipebend.relay.rate_limit_table import LimitReport
from tests.edge.relay_fixture import (
    encode_response,
    request,
    respond_ok,
    running,
    send_request,
)

#: The limit that an upstream announces, in requests per second.
LIMIT = 0.25


class TestRebirth(unittest.IsolatedAsyncioTestCase):
    """The next incarnation begins without anything of the former one."""

    def setUp(self):
        self.received = asyncio.Event()
        self.proceed = asyncio.Event()

    async def respond_late(self, req, writer):
        """Announce a limit and a backoff, once the test proceeds."""
        self.received.set()
        await self.proceed.wait()
        extra = f'X-Proof: p\r\nX-Limit: {LIMIT}\r\nX-Rest: 60\r\n'
        writer.write(encode_response(req, extra=extra))
        return True

    def reborn(self, relay, born, number):
        """Announce the first upstream's identity with a start time."""
        upstream = relay.service._upstreams.find('i-0')
        address = relay.upstreams[number].address
        record = structs.replace(upstream.record, born=born, address=address)
        relay.follower.on_upstreams((record,))

    async def test_late_response_of_the_former_incarnation(self):
        async with running(self.respond_late, respond_ok) as relay:
            self.reborn(relay, 10, 0)
            relay.service._upstreams.find('i-1').displaced = True
            former = asyncio.create_task(
                send_request(relay, request('/unsafe/'))
            )
            await self.received.wait()
            self.reborn(relay, 20, 1)
            self.proceed.set()
            got = [await former]
            current = relay.service._upstreams.find('i-0')
            self.assertFalse(relay.service._limits.table)
            self.assertEqual(current.backoff_until, 0)
            self.assertEqual(current.own_calls, 0)
            got.append(await send_request(relay, request('/unsafe/')))
            counts = [len(one.requests) for one in relay.upstreams]
        self.assertEqual([one.status for one in got], [200, 200])
        # The connection of the former incarnation isn't used for the next one.
        self.assertEqual(counts, [1, 1])

    async def test_limit_that_others_heard_before_the_rebirth_is_known(self):
        async with running(respond_ok) as relay:
            service = relay.service
            self.reborn(relay, 10, 0)
            service.apply_limits('e2', 0.0, {'i-0': LimitReport(0, 0.1, 1, 20)})
            self.assertFalse(service._limits.table)
            self.reborn(relay, 20, 0)
            late = {'i-0': LimitReport(0, 0.1, 1, 10)}
            service.apply_limits('e2', 0.0, late)
            self.assertFalse(service._limits.table)
            early = {'i-0': LimitReport(0, 60.0, 1, 20)}
            service.apply_limits('e2', 0.0, early)
            self.assertTrue(service._limits.table)
            # Passed on with the start time.
            service._limits.table.record_response(
                'i-0',
                ResponseFacts(limit=AnnouncedLimit(1)),
                service.now(),
                service.now(),
            )
            self.assertEqual(service.make_limit_reports()['i-0'].born, 20)

    async def test_idle_connections_of_the_former_incarnation(self):
        async with running(respond_ok, respond_ok) as relay:
            self.reborn(relay, 10, 0)
            relay.service._upstreams.find('i-1').displaced = True
            await send_request(relay, request('/safe/'))
            self.reborn(relay, 20, 1)
            self.assertEqual(relay.service.pool.count_idle(), {})
            await send_request(relay, request('/safe/'))
            counts = [len(one.requests) for one in relay.upstreams]
        self.assertEqual(counts, [1, 1])


if __name__ == '__main__':
    unittest.main()
