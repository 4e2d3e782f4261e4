"""A relay on loopback, with a dialect and upstreams for tests."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager
from types import SimpleNamespace

from snipebend.edge.host_follower import HostFollower
from snipebend.edge.relay_server import RelayServer
from snipebend.edge.relay_service import RelayService
from snipebend.hosts.lookup import HostIndex
from snipebend.hosts.model import (
    CallerLimits,
    HostRoute,
    HostService,
    HostTable,
    HostWorkspace,
    RequestKind,
    TrafficSplit,
)
from snipebend.kernel.clock import SystemClock
from snipebend.kernel.registry import Registry
from snipebend.kernel.tasks import TaskSupervisor
from snipebend.relay.facts import (
    AnnouncedLimit,
    BackoffRequest,
    CallerFacts,
    PrefixPart,
    ResponseFacts,
)
from snipebend.settings.model import ProcessSection
from snipebend.settings.relay import RelaySection, RelaySettings
from snipebend.settings.seeds import SeedsSection
from snipebend.state.roster import RosterPhase, UpstreamRecord
from snipebend.transport.body_framing import BodyFraming
from snipebend.transport.rpc_clients import RpcClients

HOST = 'h.example'
TIMEOUT_S = 10.0
LAST_CHUNK = b'0\r\n\r\n'
#: Of the random numbers by which upstreams are selected.
SEED = 2


class Dialect:
    """Headers that only these tests use."""

    def read_caller(self, head):
        sent = {name.lower(): line.decode() for name, line in head.headers}
        if sent.get(b'x-left') == 'never':
            return None
        timeout = sent.get(b'x-left')
        return CallerFacts(
            request_id=sent.get(b'x-id', ''),
            host=sent[b'host'],
            key=sent.get(b'x-key', ''),
            timeout_s=float(timeout) if timeout else None,
            prefix=tuple(
                PrefixPart(part, 100)
                for part in filter(None, sent.get(b'x-parts', '').split(','))
            ),
        )

    def upstream_headers(self, headers, call):
        dropped = {b'x-key', b'x-left', b'x-for', b'x-after'}
        lines = [
            (name, line)
            for name, line in headers
            if name.lower() not in dropped
        ]
        lines.append((b'X-For', call.identity.encode()))
        lines.append((b'X-Workspace', call.workspace.encode()))
        if call.resume_after is not None:
            lines.append((b'X-After', b'%d' % call.resume_after))
        return lines

    def read_response(self, head):
        sent = {name.lower(): line.decode() for name, line in head.headers}
        limit = sent.get(b'x-limit')
        backoff = sent.get(b'x-rest')
        return ResponseFacts(
            request_id=sent.get(b'x-id', ''),
            authenticated=b'x-proof' in sent,
            not_run=b'x-not-run' in sent,
            identity_mismatch=head.status == 421,
            faulty_address=sent.get(b'x-at-fault', ''),
            limit=AnnouncedLimit(float(limit)) if limit else None,
            backoff=BackoffRequest(float(backoff)) if backoff else None,
            leaving=b'x-leaving' in sent,
        )

    def refusal_headers(self, request_id, retry_after_s):
        lines = [(b'X-Id', request_id.encode())]
        if retry_after_s:
            lines.append((b'Retry-After', b'%.2f' % retry_after_s))
        return lines


class SteppedClock(SystemClock):
    """Clocks that stand still unless the test advances them."""

    advanced_s = 0.0

    def now(self):
        return 1000 + self.advanced_s

    def wall(self):
        return 1_000_000 + self.advanced_s


class FakeUpstream:
    """Handles each request with the script that the test sets."""

    def __init__(self, script):
        self.script = script
        self.requests = []
        self.closed_early = 0
        self.connections = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    async def stop(self):
        self.server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                req = await read_request(reader)
                self.requests.append(req)
                if not await self.script(req, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed_early += 1
        finally:
            writer.close()


async def read_request(reader):
    """Read one request with a length."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    lines = head.strip().split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(':')
        headers[name.lower()] = text.strip()
    length = int(headers.get('content-length', 0))
    body = await reader.readexactly(length)
    return SimpleNamespace(
        line=lines[0], headers=headers, body=body, reader=reader
    )


def encode_response(
    req, body=b'whole', status='200 OK', extra='X-Proof: p\r\n'
):
    """Return the bytes of a response to a request."""
    request_id = req.headers.get('x-id', '')
    head = (
        f'HTTP/1.1 {status}\r\nX-Id: {request_id}\r\n{extra}'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


def respond_with(body=b'whole', status='200 OK', extra='X-Proof: p\r\n'):
    """Return a script that sends the same response to each request."""

    async def script(req, writer):
        writer.write(encode_response(req, body, status, extra))
        return True

    return script


respond_ok = respond_with()


def once(first, then):
    """Follow one script for the first request, another one afterwards."""
    calls = []

    async def script(req, writer):
        calls.append(req)
        return await (first if len(calls) == 1 else then)(req, writer)

    return script


def make_event(number):
    """Return one event of a stream."""
    return f'id: {number}\ndata: piece {number}\n\n'.encode()


def stream_head(req):
    """Return the head of a chunked response."""
    return (
        f'HTTP/1.1 200 OK\r\nX-Id: {req.headers["x-id"]}\r\nX-Proof: p\r\n'
        'Content-Type: text/event-stream\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'
    ).encode()


def encode_chunk(data):
    """Return one chunk."""
    return b'%x\r\n%b\r\n' % (len(data), data)


def encode_stream(req, body, framing, cut=None):
    """Return a stream with this framing; only ``cut`` bytes of its body."""
    sent = body if cut is None else body[:cut]
    match framing:
        case BodyFraming.LENGTH:
            header = b'Content-Length: %d' % len(body)
        case BodyFraming.CHUNKED:
            header = b'Transfer-Encoding: chunked'
            sent = encode_chunk(sent) if sent else b''
            if cut is None:
                sent += LAST_CHUNK
        case _:
            header = b'Connection: close'
    head = (
        f'HTTP/1.1 200 OK\r\nX-Id: {req.headers["x-id"]}\r\nX-Proof: p\r\n'
        'Content-Type: text/event-stream\r\n'
    )
    return b'%b%b\r\n\r\n%b' % (head.encode(), header, sent)


def make_route(name, kind, **fields):
    """Return a route whose path prefix is its name."""
    made = HostRoute(
        name, HOST, f'/{name}/', kind, 2.0, 0.5, 1, (TrafficSplit('s', 1),), 2
    )
    return made._replace(**fields)


TABLE = HostTable(
    7,
    (
        make_route('safe', RequestKind.SAFE),
        make_route('unsafe', RequestKind.UNSAFE),
        make_route('stream', RequestKind.STREAM, resumable=True),
        make_route('once', RequestKind.STREAM),
        make_route('short', RequestKind.SAFE, timeout_s=0.2),
        make_route('open', RequestKind.SAFE, anonymous=True),
    ),
    (HostService('s', '/healthz', 10),),
    (HostWorkspace('w', ('key',)),),
    CallerLimits(2048, 4096, 0.5, 5.0),
)


class Relay:
    """The services of one entry, with its upstreams."""

    def __init__(self, follower, service, server):
        self.follower = follower
        self.service = service
        self.server = server
        self.upstreams = []

    @property
    def port(self):
        return int(self.server.address.rpartition(':')[2])

    async def connect(self):
        return await asyncio.open_connection('127.0.0.1', self.port)

    def watch_responses(self):
        """Return a queue of the upstreams whose responses have been applied."""
        applied = asyncio.Queue()
        apply = self.service.notices.apply

        def apply_and_record(upstream, *args):
            apply(upstream, *args)
            applied.put_nowait(upstream)

        self.service.notices.apply = apply_and_record
        return applied

    def announce(self, identity, address, phase=RosterPhase.READY, slots=4):
        record = UpstreamRecord(identity, 's', address, 'dc-a', slots, phase)
        self.follower.on_upstreams((record,))


@asynccontextmanager
async def running(
    *scripts,
    table=TABLE,
    stop_within_s=2.0,
    slots=4,
    listener=None,
    clock=None,
    memory_mb=0,
    section=None,
):
    """Run a relay with upstreams that follow these scripts.

    Its random numbers are the same in every run.
    """
    cfg = RelaySettings(
        process=ProcessSection(name='entry-1', data_center='dc-a'),
        control=SeedsSection(addresses=['127.0.0.1:1'], grpc_port=1),
        relay=section or RelaySection(memory_mb=memory_mb),
        stop_within_s=stop_within_s,
    )
    registry = Registry(clock or SystemClock(), TaskSupervisor())
    follower = HostFollower('hosts', cfg, RpcClients(), read_table=None)
    relay_service = RelayService('relay', cfg, Dialect())
    relay_service._rng.seed(SEED)
    server = RelayServer('callers', cfg, listener)
    for service in (follower, relay_service, server):
        registry.register(service)
    follower._clock = registry.clock
    follower.index = HostIndex(table) if table else None
    relay = Relay(follower, relay_service, server)
    async with AsyncExitStack() as stack:
        await relay_service.start(registry)
        await server.start(registry)
        stack.push_async_callback(registry.tasks.stop)
        stack.push_async_callback(relay_service.stop)
        stack.push_async_callback(server.stop)
        for number, script in enumerate(scripts):
            upstream = FakeUpstream(script)
            await upstream.start()
            stack.push_async_callback(upstream.stop)
            relay.upstreams.append(upstream)
            relay.announce(f'i-{number}', upstream.address, slots=slots)
        yield relay


def request(path, method='POST', body=b'ask', **headers):
    """Return the bytes of a request; ``x_id`` stands for ``x-id``."""
    lines = {'Host': HOST, 'X-Id': 'r1', 'X-Key': 'key'}
    lines.update(
        {name.replace('_', '-'): line for name, line in headers.items()}
    )
    if body:
        lines['Content-Length'] = str(len(body))
    head = ''.join(
        f'{name}: {line}\r\n' for name, line in lines.items() if line
    )
    return f'{method} {path} HTTP/1.1\r\n{head}\r\n'.encode() + body


async def read_response(reader):
    """Read one response; ``complete`` is whether it ended properly."""
    try:
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
    except asyncio.IncompleteReadError:
        return SimpleNamespace(status=0, headers={}, body=b'', complete=False)
    lines = head.strip().split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(':')
        headers[name.lower()] = text.strip()
    body, complete = await _read_body(reader, headers)
    status = int(lines[0].split()[1])
    return SimpleNamespace(
        status=status, headers=headers, body=body, complete=complete
    )


async def _read_body(reader, headers):
    content_length = headers.get('content-length')
    if content_length is not None:
        length = int(content_length)
        body = await reader.read(length) if length else b''
        while len(body) < length:
            more = await reader.read(length - len(body))
            if not more:
                return body, False
            body += more
        return body, True
    body = b''
    while True:
        size = await reader.readline()
        if not size.strip():
            return body, False
        length = int(size, 16)
        try:
            body += (await reader.readexactly(length + 2))[:length]
        except asyncio.IncompleteReadError:
            return body, False
        if not length:
            return body, True


async def send_request(relay, data):
    """Send bytes over a new connection and read one response."""
    reader, writer = await relay.connect()
    writer.write(data)
    async with asyncio.timeout(TIMEOUT_S):
        got = await read_response(reader)
    writer.close()
    return got
