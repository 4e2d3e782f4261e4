"""A stand-in for a group of ranks that run their passes together.

Orders, reports and counts follow the pages: a rank may leave an order
unanswered and carry it out later. Everything that decides about a pass is in
one process, so that the state of all ranks at its beginning is known.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass, field
from typing import Any

import msgspec
from http_parts import Message, call, encode, read_message
from parties import HEARTBEAT_S, REPLICA_PORT
from platform_bed import ZONES, Bed

RANKS = 16
SETS = 4
EXPERTS = 64
PLACES = 5
SPARE = 2
FETCH_S = 2500 * 8 / 180_000
REPORT_LAG_S = 0.2
BASE_PASS_S = 0.03
EXPERT_SHARE = 0.85
PICKS = 160
#: Experts that requests choose, how many of them a shift keeps, and the step
#: from one topic to the next.
LIKED_EXPERTS = 8
KEPT_EXPERTS = 2
SHIFT = 3
#: The bounds of the time after which an unanswered order is carried out.
LATE_S = (2.0, 12.0)

ENGINE = {
    'slots': 6,
    'kv_tokens': 140000,
    'link_mbps': 180000.0,
    'stride': 4,
    'models': [{'name': 'm'}],
    'step_ms': 4.55,
    'per_seq_ms': 1.81,
    'read_per_s': 61400.0,
    'chunk': 512,
    'report_lag_ms': 200.0,
    'sets': SETS,
    'experts': EXPERTS,
    'places': PLACES,
    'spare': SPARE,
    'expert_mb': 2500.0,
    'expert_share': EXPERT_SHARE,
    'form_ms': 600.0,
}

Map = list[list[int]]


@dataclass
class Rank:
    """One rank, which is a replica."""

    number: int
    identity: str
    #: Its experts by set.
    experts: Map
    version: int = 0
    newest: int = 0
    prepared: tuple[int, Map] | None = None
    ready_at: float = 0
    armed: tuple[int, int] | None = None
    held: int | None = None
    seq: int = 0
    beat: int = 0
    streams: list[asyncio.Queue[int]] = field(default_factory=list)
    counts: list[int] = field(default_factory=lambda: [0] * SETS * EXPERTS)


class ExpertGroup:
    """All ranks, their passes and their interfaces."""

    def __init__(self, bed: Bed, service: str, first_place: int) -> None:
        """Create ranks with map 0."""
        self.topic = 0
        #: The share of orders that are left unanswered now.
        self.late_share = 0.0
        self.step = 0
        self.mixed_passes = 0
        self._bed = bed
        self._service = service
        self._first_place = first_place
        self._ranks = [
            Rank(
                number,
                f'i-{random.getrandbits(40):010x}',
                [list(range(number, EXPERTS, RANKS))] * SETS,
            )
            for number in range(RANKS)
        ]
        self._history: list[tuple[float, list[dict[str, Any]]]] = []
        self._work = asyncio.Event()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._servers: list[asyncio.Server] = []

    async def start(self) -> None:
        """Listen for all ranks and announce them."""
        for rank in self._ranks:
            server = await asyncio.start_server(
                lambda reader, writer, rank=rank: self._serve(
                    rank, reader, writer
                ),
                self._bed.replica_ip(self._first_place + rank.number),
                REPLICA_PORT,
            )
            self._servers.append(server)
            self._keep(self._announce(rank))
        self._keep(self._run_passes())
        self._keep(self._remember())

    def stop(self) -> None:
        """End all ranks."""
        for server in self._servers:
            server.close()
        for task in tuple(self._tasks):
            task.cancel()

    def describe(self) -> str:
        """Return the state of the group for the record."""
        first = self._ranks[0]
        armed = {rank.armed for rank in self._ranks}
        versions = sorted({rank.version for rank in self._ranks})
        return (
            f'group: last pass {self.step}, maps {versions}, armed {armed}, '
            + f'held before {first.held}'
        )

    def _keep(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _announce(self, rank: Rank) -> None:
        ip = self._bed.replica_ip(self._first_place + rank.number)
        path = f'/-/replicas/{rank.identity}/heartbeat'
        while True:
            rank.beat += 1
            content = {
                'service': self._service,
                'address': f'{ip}:{REPLICA_PORT}',
                'zone': ZONES[rank.number % len(ZONES)],
                'version': 'v1',
                'slots': 6,
                'state': 'ready',
                'cold_remaining_ms': 0,
                'stage': 'both',
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'seq': rank.beat,
            }
            for core in random.sample(self._bed.cores, len(self._bed.cores)):
                answer = await call(core.control, path, content)
                if answer is not None and answer.status == 200:
                    break
            await asyncio.sleep(HEARTBEAT_S)

    async def _run_passes(self) -> None:
        while True:
            self._work.clear()
            step = self.step + 1
            has_work = any(rank.streams for rank in self._ranks)
            is_held = any(rank.held == step for rank in self._ranks)
            if not has_work or is_held:
                await self._work.wait()
                continue
            self._begin_pass(step)
            await asyncio.sleep(self._pass_s())
            self._end_pass()

    def _begin_pass(self, step: int) -> None:
        self.step = step
        for rank in self._ranks:
            if rank.armed is not None and rank.armed[1] == step:
                assert rank.prepared is not None
                rank.version, rank.experts = rank.prepared
                rank.prepared = None
                rank.armed = None
        versions = {rank.version for rank in self._ranks}
        if len(versions) > 1:
            self.mixed_passes += 1
            self._bed.note(f'pass {step} begins with the maps {versions}')

    def _loaded(self) -> list[int]:
        """Return the experts that the current topic chooses."""
        current = self._list_experts(self.topic)[:KEPT_EXPERTS]
        changed = self._list_experts(self.topic + SHIFT)
        return current + changed[: LIKED_EXPERTS - KEPT_EXPERTS]

    def _list_experts(self, topic: int) -> list[int]:
        ranks = (2 * topic % RANKS, (2 * topic + 1) % RANKS)
        return [one for one in range(EXPERTS) if one % RANKS in ranks]

    def _pass_s(self) -> float:
        loaded = self._loaded()
        skew = 0.0
        for at in range(SETS):
            copies = dict.fromkeys(loaded, 0)
            for rank in self._ranks:
                for one in rank.experts[at]:
                    if one in copies:
                        copies[one] += 1
            loads = [
                sum(
                    1 / copies[one] for one in rank.experts[at] if one in copies
                )
                for rank in self._ranks
            ]
            skew += RANKS * max(loads) / len(loaded) / SETS
        return BASE_PASS_S * (1 - EXPERT_SHARE + EXPERT_SHARE * skew)

    def _end_pass(self) -> None:
        loaded = self._loaded()
        for rank in self._ranks:
            for stream in rank.streams:
                stream.put_nowait(self.step)
            for _ in range(PICKS * len(rank.streams)):
                for at in range(SETS):
                    rank.counts[at * EXPERTS + random.choice(loaded)] += 1

    async def _remember(self) -> None:
        while True:
            now = self._bed.now()
            self._history.append(
                (now, [self._report(rank) for rank in self._ranks])
            )
            while self._history[0][0] < now - 2 * REPORT_LAG_S:
                self._history.pop(0)
            await asyncio.sleep(0.02)

    def _report(self, rank: Rank) -> dict[str, Any]:
        prepared = None
        if rank.prepared and self._bed.now() >= rank.ready_at:
            prepared = rank.prepared[0]
        armed = None
        if rank.armed:
            armed = {'version': rank.armed[0], 'step': rank.armed[1]}
        return {
            'stage': 'both',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': rank.prepared is not None and prepared is None,
            'seq': rank.seq,
            'queued': 0,
            'running': len(rank.streams),
            'kv_used': 0,
            'kv_total': 140000,
            'handles': 0,
            'group': {
                'name': 'g1',
                'epoch': 1,
                'rank': rank.number,
                'state': 'open',
            },
            'size': RANKS,
            'step': self.step,
            'map': rank.version,
            'prepared': prepared,
            'armed': armed,
            'held': rank.held,
            'pace': 1.0,
        }

    async def _serve(
        self,
        rank: Rank,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while (req := await read_message(reader)) is not None:
                await self._handle(rank, req, writer)
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    async def _handle(
        self, rank: Rank, req: Message, writer: asyncio.StreamWriter
    ) -> None:
        expected = req.headers.get('snipebend-expect-replica', rank.identity)
        path = req.first[1]
        if expected != rank.identity:
            writer.write(
                encode(
                    'HTTP/1.1 421 Misdirected Request',
                    {'Snipebend-Not-Executed': '1'},
                )
            )
        elif path == '/-/report':
            writer.write(_reply(200, self._history[0][1][rank.number]))
        elif path.startswith('/-/picked'):
            writer.write(_reply(200, self._picked(rank, path)))
        elif path == '/-/order':
            await self._take_order(rank, req, writer)
        else:
            await self._stream(rank, req, writer)

    def _picked(self, rank: Rank, path: str) -> dict[str, Any]:
        if 'lists' in path:
            return {
                'map': {'version': rank.version, 'experts': rank.experts},
                'prepared': None,
            }
        return {'step': self.step, 'epoch': 1, 'counts': rank.counts}

    async def _take_order(
        self, rank: Rank, req: Message, writer: asyncio.StreamWriter
    ) -> None:
        order = msgspec.msgpack.decode(req.body)
        if random.random() < self.late_share:
            delay_s = random.uniform(*LATE_S)
            self._note(rank, order, f'unanswered, due in {delay_s:.1f} s')
            self._keep(self._carry_out_late(rank, order, delay_s))
            # The caller gives up before that.
            await asyncio.sleep(LATE_S[0])
            raise OSError('unanswered')
        status = self._carry_out(rank, order)
        self._note(rank, order, str(status))
        writer.write(_reply(status, {}))

    async def _carry_out_late(
        self, rank: Rank, order: dict[str, Any], delay_s: float
    ) -> None:
        await asyncio.sleep(delay_s)
        status = self._carry_out(rank, order)
        self._note(rank, order, f'carried out late: {status}')

    def _note(self, rank: Rank, order: dict[str, Any], what: str) -> None:
        if rank.number == 0 and order['op'] != 'prepare':
            self._bed.note(
                f'rank 0, {order["op"]} step {order["step"]}: {what}; '
                + self.describe()
            )

    def _carry_out(self, rank: Rank, order: dict[str, Any]) -> int:
        if order.get('epoch', 1) != 1:
            return 409
        status = getattr(self, f'_{order["op"]}')(rank, order)
        if status == 202:
            rank.seq += 1
            self._work.set()
        return int(status)

    def _prepare(self, rank: Rank, order: dict[str, Any]) -> int:
        version = order['version']
        if rank.prepared is not None and rank.prepared[0] == version:
            return 200
        if version <= rank.newest or rank.armed is not None:
            return 409
        experts = [list(layer[rank.number]) for layer in order['map']]
        new = [
            len(set(now) - set(before))
            for now, before in zip(experts, rank.experts, strict=True)
        ]
        if max(new) > SPARE or max(map(len, experts)) > PLACES:
            return 409
        rank.newest = version
        rank.prepared = (version, experts)
        rank.ready_at = self._bed.now() + FETCH_S * sum(new)
        return 202

    def _arm(self, rank: Rank, order: dict[str, Any]) -> int:
        wanted = (order['version'], order['step'])
        if rank.armed == wanted:
            return 200
        is_ready = (
            rank.prepared is not None
            and rank.prepared[0] == wanted[0]
            and self._bed.now() >= rank.ready_at
        )
        if not is_ready or wanted[1] <= self.step:
            return 409
        rank.armed = wanted
        return 202

    def _hold(self, rank: Rank, order: dict[str, Any]) -> int:
        if rank.held == order['step']:
            return 200
        if order['step'] <= self.step or rank.held is not None:
            return 409
        rank.held = order['step']
        return 202

    def _go(self, rank: Rank, order: dict[str, Any]) -> int:
        if rank.held is None:
            return 200
        if rank.held != order['step']:
            return 409
        rank.held = None
        return 202

    async def _stream(
        self, rank: Rank, req: Message, writer: asyncio.StreamWriter
    ) -> None:
        events = int(
            req.headers.get('snipebend-token-count', '0,16').split(',')[1]
        )
        events //= 4
        first = int(req.headers.get('last-event-id', '0')) + 1
        headers = [
            'HTTP/1.1 200 OK',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
            f'Snipebend-Attempt-Id: {req.headers["snipebend-attempt-id"]}',
            f'Snipebend-Replica-Signature: {rank.identity}.signed',
            'Snipebend-Weight-Versions: 1',
        ]
        queue: asyncio.Queue[int] = asyncio.Queue()
        rank.streams.append(queue)
        self._work.set()
        try:
            for number in range(first, events + 1):
                await self._next_pass(queue, writer)
                if number == first:
                    head = '\r\n'.join([*headers, '', ''])
                    writer.write(head.encode('latin-1'))
                event = f'id: {number}\ndata: token\n\n'.encode()
                writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            writer.write(b'0\r\n\r\n')
        finally:
            rank.streams.remove(queue)

    async def _next_pass(
        self, queue: asyncio.Queue[int], writer: asyncio.StreamWriter
    ) -> None:
        """Wait for a pass; a stream whose channel has closed is dropped."""
        while True:
            try:
                async with asyncio.timeout(0.1):
                    await queue.get()
                return
            except TimeoutError:
                if writer.transport.is_closing():
                    raise OSError('the channel is closed') from None


def _reply(status: int, content: dict[str, Any]) -> bytes:
    return encode(
        f'HTTP/1.1 {status} Reply',
        {'Content-Type': 'application/msgpack'},
        msgspec.msgpack.encode(content),
    )
