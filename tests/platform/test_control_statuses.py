"""Guards against statuses that end an operator's order by mistake.

Operators and upstreams give up at once on 400 and 413, and send again after
503: an order that may pass later must not get the former, and one that never
can must not get the latter.
"""

from __future__ import annotations

import asyncio
import unittest
from typing import NamedTuple
from unittest.mock import Mock, patch

from falcon.testing import ASGIConductor, create_scope
from msgspec import json, msgpack
from result import Err, Ok

from snipebend.errors.hierarchy import UnavailableError
from snipebend.state.documents import DocumentState, PutReply
from snipebend.state.roster import RecordReply, RosterPhase
from snipebend.state.roster_checks import MAX_NAME_CHARS
from snipebend.transport import outer_endpoints
from snipebend.transport.outer_endpoints import (
    MAX_ANNOUNCEMENT_BYTES,
    MAX_DOCUMENT_BYTES,
)
from snipebend_platform.control_calls import build_control_app
from tests.platform.deployment import config

PUT = '/-/config/put'
GET = '/-/config/get'
HEARTBEAT = '/-/replicas/i-1/heartbeat'
DEREGISTER = '/-/replicas/i-1/deregister'
UNAVAILABLE = Err(UnavailableError('no leader', step='execute'))
ALIVE = msgpack.encode(
    {'service': 's', 'address': '10.0.0.1:80', 'state': 'ready', 'born': 5}
)
#: Of an unknown field, which is skipped as it is read.
DEEP = b'{"a":%b' % (b'[' * (MAX_ANNOUNCEMENT_BYTES - 5))


class FakeHosts:
    """Control's state: it accepts what it gets, unless it is unavailable."""

    def __init__(self, outcome=None, *, silent=False, number=7):
        self.received = []
        self.warmth = Mock()
        self._outcome = outcome
        self._silent = silent
        self._document = DocumentState(number, b'document')

    async def put(self, req):
        return await self._reply(req, PutReply(req.number, stored=True))

    async def record(self, upstream):
        return await self._reply(upstream, RecordReply(RosterPhase.READY, 1))

    async def read(self):
        return await self._reply('read', self._document)

    async def _reply(self, received, reply):
        if self._silent:
            await asyncio.Event().wait()
        if self._outcome is not None:
            return self._outcome
        self.received.append(received)
        return Ok(reply)


class Row(NamedTuple):
    """One call and the status that it gets."""

    name: str
    path: str
    body: bytes
    status: int
    method: str = 'POST'


def changed(**fields):
    """Return a heartbeat with other fields."""
    return json.encode(msgpack.decode(ALIVE) | fields)


def changed_config(**fields):
    """Return a configuration with other fields."""
    return json.encode(msgpack.decode(config(3, '/a/')) | fields)


#: Whatever the state of control: such a call can never be accepted.
NEVER = (
    Row('unreadable', PUT, b'\xff', 400),
    Row('empty', PUT, b'', 400),
    Row('nested too deep', PUT, b'[' * 100_000, 400),
    Row('nested too deep', HEARTBEAT, DEEP, 400),
    Row('two equal routes', PUT, config(3, '/a/', '/a/'), 400),
    Row('number too large', PUT, changed_config(version=2**70), 400),
    Row('unknown service', PUT, changed_config(services=[]), 400),
    Row('too large', PUT, b'\x00' * (MAX_DOCUMENT_BYTES + 1), 413),
    Row('unreadable', HEARTBEAT, b'\xff', 400),
    Row('empty', HEARTBEAT, b'', 400),
    Row('unknown state', HEARTBEAT, changed(state='warm'), 400),
    Row('no address', HEARTBEAT, changed(address='10.0.0.1:99999'), 400),
    Row('slots too many', HEARTBEAT, changed(slots=2**70), 400),
    Row('too large', HEARTBEAT, b'\x00' * (MAX_ANNOUNCEMENT_BYTES + 1), 413),
    Row(
        'long name',
        f'/-/replicas/{"a" * (MAX_NAME_CHARS + 1)}/heartbeat',
        ALIVE,
        400,
    ),
    Row('unreadable', DEREGISTER, b'\xff', 400),
    Row('too large', DEREGISTER, b'\x00' * (MAX_ANNOUNCEMENT_BYTES + 1), 413),
    Row('unknown path', '/-/config/unknown', b'', 404),
    Row('wrong method', PUT, b'', 405, method='GET'),
)

#: Accepted while control can commit, and 503 while it can't.
VALID = (
    Row('configuration', PUT, config(3, '/a/'), 200),
    Row('heartbeat', HEARTBEAT, ALIVE, 200),
    Row('departure', DEREGISTER, b'', 200),
    Row('departure with a start time', DEREGISTER, b'{"born":5}', 200),
    Row('newest configuration', GET, b'', 200, method='GET'),
)

#: Cut off on their way: the rest may arrive the next time.
CUT = ((PUT, config(3, '/a/')), (HEARTBEAT, ALIVE))


async def send_part(app, path, body):
    """Send all of a body but its last byte, then disconnect."""
    events = [
        {'type': 'http.request', 'body': body[:-1], 'more_body': True},
        {'type': 'http.disconnect'},
    ]
    sent = []

    async def receive():
        return events.pop(0) if len(events) > 1 else events[0]

    async def send(event):
        sent.append(event)

    scope = create_scope(path=path, method='POST', content_length=len(body))
    await app(scope, receive, send)
    return sent[0]['status']


class TestStatuses(unittest.IsolatedAsyncioTestCase):
    """Each call gets the status that tells whether to send it again."""

    async def _check(self, rows, hosts, status=None):
        async with ASGIConductor(build_control_app(hosts, None)) as conductor:
            for row in rows:
                with self.subTest(row.name, path=row.path):
                    got = await conductor.simulate_request(
                        row.method,
                        row.path,
                        body=row.body,
                    )
                    self.assertEqual(got.status_code, status or row.status)

    async def test_never_accepted(self):
        for hosts in (FakeHosts(), FakeHosts(UNAVAILABLE)):
            await self._check(NEVER, hosts)
            self.assertEqual(hosts.received, [])

    async def test_accepted(self):
        hosts = FakeHosts()
        await self._check(VALID, hosts)
        self.assertEqual(len(hosts.received), len(VALID))

    async def test_control_unavailable(self):
        await self._check(VALID, FakeHosts(UNAVAILABLE), 503)

    async def test_control_silent(self):
        with patch.multiple(
            outer_endpoints, RESPONSE_TIMEOUT_S=0.01, PUT_TIMEOUT_S=0.01
        ):
            await self._check(VALID, FakeHosts(silent=True), 503)

    async def test_body_cut_off(self):
        hosts = FakeHosts()
        app = build_control_app(hosts, None)
        for path, body in CUT:
            with self.subTest(path=path):
                self.assertEqual(await send_part(app, path, body), 503)
        self.assertEqual(hosts.received, [])

    async def test_no_configuration_yet(self):
        row = Row('newest configuration', GET, b'', 503, method='GET')
        await self._check((row,), FakeHosts(number=0))


if __name__ == '__main__':
    unittest.main()
