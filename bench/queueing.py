"""A queueing model of engines in model steps, to compare routing policies.

One step is one token of each running sequence. Prefill of blocks that aren't
cached holds the whole batch back, as in an engine whose ranks run in
lock-step. Nothing here is about processes or networks.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random
from typing import Literal, NamedTuple

from snipebend.routing.prefix_index import CacheEventView

Kind = Literal['stored', 'evicted']

STEP_S = 0.025
BATCH = 16
CACHE_BLOCKS = 600
PREFILL_BLOCKS_PER_STEP = 16
#: Steps after which a caller has gone away.
PATIENCE = 400
#: Steps in which the first token is worth something (0.47 s).
TARGET = 19
WORKSPACES = 10
SESSIONS = 30
#: Chance that a request begins a new session.
NEW_SESSION = 0.1
#: Requests a step that 16 engines carry when most prefixes are cached.
FULL_RATE = 6.0


@dataclass(slots=True)
class Job:
    """One request on its way; times are steps."""

    number: int
    workspace: int
    rank: int
    chain: tuple[int, ...]
    tokens: int
    arrived: int
    entry: int = 0
    poison: bool = False
    engine: int = -1
    started: int = -1
    first: int = -1
    done: int = -1
    cached: int = 0
    attempts: int = 0
    refused: bool = False
    ticket: object = None

    @property
    def is_good(self) -> bool:
        """Tell whether the first token came in time."""
        return self.first >= 0 and self.first - self.arrived < TARGET


class Snapshot(NamedTuple):
    """A load report of one engine."""

    running: int
    queued: int
    taken: int


class CacheChange(NamedTuple):
    """A change of an engine's cache at a step."""

    step: int
    event: CacheEventView


@dataclass(slots=True)
class Engine:
    """A batch, a queue by priority and a prefix cache."""

    number: int
    alive: bool = True
    incarnation: int = 1
    slowdown: float = 1
    decodes: int = 0
    stall: float = 0
    gap: int = 1
    cache: OrderedDict[int, None] = field(default_factory=OrderedDict)
    waiting: list[tuple[int, int, Job]] = field(default_factory=list)
    running: list[tuple[int, int, Job]] = field(default_factory=list)
    fresh: list[Job] = field(default_factory=list)
    gaps: Counter[int] = field(default_factory=Counter)
    log: deque[CacheChange] = field(default_factory=deque)
    last_change: int = 0

    @property
    def load(self) -> int:
        """Return all requests here."""
        return len(self.waiting) + len(self.running)

    def submit(self, job: Job) -> None:
        """Queue a job."""
        heappush(self.waiting, (job.rank, job.number, job))

    def step(self, now: int) -> list[Job]:
        """Run one step; return the jobs that ended."""
        ended = self._fill(now)
        if not self.running:
            self.gap = 1
            return ended
        if self.stall >= 1:
            self.stall -= 1
            self.gap += 1
            return ended
        self.stall += self.slowdown - 1
        self.decodes += 1
        self.gaps[self.gap] += len(self.running)
        self.gap = 1
        for begun in self.fresh:
            begun.first = now
        self.fresh.clear()
        while self.running and self.running[0][0] <= self.decodes:
            job = heappop(self.running)[-1]
            job.done = now
            ended.append(job)
        return ended

    def crash(self) -> list[Job]:
        """Lose everything; return the jobs that were here."""
        lost = [entry[-1] for entry in self.waiting + self.running]
        self.alive = False
        self.waiting.clear()
        self.running.clear()
        self.fresh.clear()
        self.cache.clear()
        self.log.clear()
        self.last_change = 0
        self.stall = 0
        return lost

    def _fill(self, now: int) -> list[Job]:
        gone = []
        while self.waiting and len(self.running) < BATCH:
            job = heappop(self.waiting)[-1]
            if now - job.arrived > PATIENCE:
                gone.append(job)
                continue
            job.cached = self._count_cached(job.chain)
            uncached = len(job.chain) - job.cached
            self.stall += uncached / PREFILL_BLOCKS_PER_STEP
            self._store(job.chain, now)
            end = self.decodes + job.tokens
            heappush(self.running, (end, job.number, job))
            self.fresh.append(job)
        return gone

    def _count_cached(self, chain: tuple[int, ...]) -> int:
        for place, block in enumerate(chain):
            if block not in self.cache:
                return place
        return len(chain)

    def _store(self, chain: tuple[int, ...], now: int) -> None:
        for block in chain:
            if block not in self.cache:
                self._log('stored', block, now)
        for block in reversed(chain):
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > CACHE_BLOCKS:
            self._log('evicted', self.cache.popitem(last=False)[0], now)

    def _log(self, kind: Kind, block: int, now: int) -> None:
        self.last_change += 1
        event = CacheEventView(self.last_change, kind, block)
        self.log.append(CacheChange(now, event))


class Workload:
    """Sessions of workspaces that grow turn by turn; a few are large."""

    def __init__(self, rng: Random, rate: float, entries: int) -> None:
        """Start with fresh sessions; ``rate`` is requests a step."""
        self._rng = rng
        self._rate = rate
        self._entries = entries
        self._count = 0
        self._shares = [1 / (1 + place) for place in range(WORKSPACES)]
        self._heads = [self._blocks(8) for _ in self._shares]
        self._sessions = [
            [head + self._blocks(4) for _ in range(SESSIONS)]
            for head in self._heads
        ]

    def arrivals(self, now: int) -> list[Job]:
        """Return the jobs of one step, about Poisson."""
        whole = 4 * int(self._rate + 1)
        chance = self._rate / whole
        hits = sum(self._rng.random() < chance for _ in range(whole))
        return [self._job(now) for _ in range(hits)]

    def _job(self, now: int) -> Job:
        rng = self._rng
        workspace = rng.choices(range(WORKSPACES), self._shares)[0]
        sessions = self._sessions[workspace]
        place = rng.randrange(SESSIONS)
        if len(sessions[place]) > 30 or rng.random() < NEW_SESSION:
            sessions[place] = self._heads[workspace]
        sessions[place] += self._blocks(3)
        self._count += 1
        return Job(
            self._count,
            workspace,
            workspace % 3,
            sessions[place],
            min(120, 4 + int(rng.expovariate(1 / 24))),
            now,
            rng.randrange(self._entries),
        )

    def _blocks(self, count: int) -> tuple[int, ...]:
        return tuple(self._rng.getrandbits(64) for _ in range(count))
