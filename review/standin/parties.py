"""Stand-ins for replicas, requesters and the operator."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import socket
import struct
from collections.abc import Callable
from typing import Any

from http_parts import Message, call, encode, exchange, read_message
from platform_bed import Bed, Machine

HOST = 'app.example'
KEY = 'k3y4tenant1'
REPLICA_PORT = 8080
HEARTBEAT_S = 1.2
_RESET = struct.pack('ii', 1, 0)
_numbers = itertools.count(1)


class Replica:
    """One lifetime of a replica.

    ``crashes`` tells whether a request crashes it.
    """

    def __init__(
        self,
        bed: Bed,
        service: str,
        place: int,
        *,
        slots: int = 6,
        weights: int = 1,
        work_s: float = 0.03,
        crashes: Callable[[Message], bool] = lambda _: False,
        on_arrival: Callable[[Replica, Message, str], None],
    ) -> None:
        """Keep what it serves; ``start`` opens its address."""
        self.identity = f'i-{random.getrandbits(40):010x}'
        self.service = service
        self.place = place
        self.weights = weights
        self.running = 0
        self.is_up = False
        self._bed = bed
        self._slots = slots
        self._work_s = work_s
        self._crashes = crashes
        self._on_arrival = on_arrival
        self._zone = ('zone-a', 'zone-b', 'zone-c')[place % 3]
        self._seq = 0
        self._state = 'ready'
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def address(self) -> tuple[str, int]:
        """Return where it listens."""
        return self._bed.replica_ip(self.place), REPLICA_PORT

    async def start(self) -> None:
        """Listen and announce itself."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        self.is_up = True
        self._beats = asyncio.create_task(self._announce())
        self._bed.note(
            f'replica {self.identity} of {self.service} starts, '
            + f'weights {self.weights}, place {self.place}'
        )

    def crash(self) -> None:
        """End at once, as a killed process does."""
        if not self.is_up:
            return
        self._bed.note(f'replica {self.identity} of {self.service} crashes')
        self.is_up = False
        self._beats.cancel()
        self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in tuple(self._writers):
            sock = writer.get_extra_info('socket')
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            writer.transport.abort()

    async def leave(self) -> None:
        """Drain, deregister and exit, as at planned work."""
        self._state = 'draining'
        await self._beat()
        await asyncio.sleep(2.5)
        self._beats.cancel()
        await self._tell('deregister', {})
        while self.running:
            await asyncio.sleep(0.05)
        self.is_up = False
        self._server.close()
        for writer in tuple(self._writers):
            writer.close()
        self._bed.note(f'replica {self.identity} of {self.service} has left')

    async def _announce(self) -> None:
        while True:
            await self._beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def _beat(self) -> None:
        self._seq += 1
        ip, port = self.address
        await self._tell(
            'heartbeat',
            {
                'service': self.service,
                'address': f'{ip}:{port}',
                'zone': self._zone,
                'version': f'v{self.weights}',
                'slots': self._slots,
                'state': self._state,
                'cold_remaining_ms': 0,
                'stage': 'both',
                'models': [
                    {'name': 'm', 'version': self.weights, 'adapters': []}
                ],
                'seq': self._seq,
            },
        )

    async def _tell(self, what: str, content: dict[str, Any]) -> None:
        for core in random.sample(self._bed.cores, len(self._bed.cores)):
            path = f'/-/replicas/{self.identity}/{what}'
            answer = await call(core.control, path, content)
            if answer is not None and answer.status == 200:
                return

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while (req := await read_message(reader)) is not None:
                writer.write(await self._answer(req))
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()

    async def _answer(self, req: Message) -> bytes:
        headers = {}
        if 'snipebend-attempt-id' in req.headers:
            attempt = req.headers['snipebend-attempt-id']
            headers['Snipebend-Attempt-Id'] = attempt
        expected = req.headers.get('snipebend-expect-replica', self.identity)
        weights = req.headers.get('snipebend-expect-version', '')
        if expected != self.identity or weights not in {'', str(self.weights)}:
            self._on_arrival(self, req, 'answers 421')
            headers['Snipebend-Not-Executed'] = '1'
            ip, port = self.address
            headers['At-Server'] = f'{ip}:{port}'
            return encode('HTTP/1.1 421 Misdirected Request', headers)
        if self.running >= 3 * self._slots:
            self._on_arrival(self, req, 'answers 503, full')
            headers['Snipebend-Not-Executed'] = '1'
            return encode('HTTP/1.1 503 Service Unavailable', headers)
        self._on_arrival(self, req, 'runs it')
        self.running += 1
        try:
            await asyncio.sleep(self._work_s)
        finally:
            self.running -= 1
        if self._crashes(req):
            self.crash()
            await asyncio.sleep(1)
        headers['Snipebend-Replica-Signature'] = f'{self.identity}.signed'
        headers['Snipebend-Weight-Versions'] = str(self.weights)
        headers['Content-Type'] = 'application/json'
        return encode('HTTP/1.1 200 OK', headers, b'{"answer":"whole"}')


async def send_request(
    bed: Bed,
    front: Machine,
    path: str,
    *,
    deadline_ms: int = 2000,
    method: str = 'POST',
    body: bytes = b'{}',
    headers: dict[str, str] | None = None,
    note: bool = True,
) -> int:
    """Send one requester attempt; return its status, 0 without an answer."""
    attempt = f'{next(_numbers):016x}'
    lines = {
        'Host': HOST,
        'Snipebend-Attempt-Id': attempt,
        'Snipebend-Deadline-Ms': str(deadline_ms),
        'Snipebend-Credential': KEY,
        **(headers or {}),
    }
    data = encode(f'{method} {path} HTTP/1.1', lines, body)
    sent_at = bed.now()
    answer = await exchange(front.front, data, deadline_ms / 1000 + 1)
    status = answer.status if answer is not None else 0
    if note:
        extra = ' '.join(
            f'{name}: {one}' for name, one in (headers or {}).items()
        )
        bed.note(
            f'request {attempt} {method} {path} {extra} sent at {sent_at:.3f} s '
            + f'to {front.name} gets {status or "no answer"}'
        )
    return status


async def put_config(bed: Bed, config: dict[str, Any]) -> bool:
    """Send a config until it is acknowledged, for at most 20 s."""
    until = bed.now() + 20
    for core in itertools.cycle(bed.cores):
        answer = await call(core.control, '/-/config/put', config, 1.5)
        if answer is not None and answer.status == 200:
            bed.note(f'config {config["version"]} is acknowledged')
            return True
        if bed.now() > until:
            return False
        await asyncio.sleep(0.3)
    return False


def make_route(
    name: str,
    prefix: str,
    service: str,
    *,
    kind: str = 'safe',
    attempts: int = 2,
) -> dict[str, Any]:
    """Return a route of a config."""
    return {
        'name': name,
        'host': HOST,
        'path_prefix': prefix,
        'kind': kind,
        'timeout_ms': 2000,
        'target_latency_ms': 500,
        'priority': 1,
        'service': service,
        'max_attempts': attempts,
        'allow_anonymous': False,
    }


def make_config(
    version: int, routes: list[dict[str, Any]], services: list[str]
) -> dict[str, Any]:
    """Return a config."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'health_path': '/healthz',
                'max_connections': 110,
                'protocol': 'h1',
                'tls': False,
            }
            for name in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'tenant1', 'api_keys': [KEY], 'priority': 1}],
    }


async def wait_ready(bed: Bed, timeout_s: float = 20) -> bool:
    """Wait until all entries say that they are ready."""
    data = encode('GET /-/ready HTTP/1.1', {'Host': 'x', 'Connection': 'close'})
    until = bed.now() + timeout_s
    while bed.now() < until:
        answers = [
            await exchange((front.ip, 8220), data, 1) for front in bed.fronts
        ]
        if all(one is not None and one.status == 200 for one in answers):
            return True
        await asyncio.sleep(0.2)
    return False
