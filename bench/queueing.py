"""A queueing model of engines, in steps, to compare routing policies.

A step generates one token for each running sequence. Prefill of blocks that
are not cached stalls the whole batch, as in an engine whose ranks run in
lock-step. Processes and networks are not modelled.
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
BATCH_SIZE = 16
CACHE_BLOCKS = 600
PREFILL_BLOCKS_PER_STEP = 16
#: Steps after which a caller has disconnected.
CALLER_TIMEOUT_STEPS = 400
#: A request counts as good if its first token comes within this many steps
#: (0.47 s).
FIRST_TOKEN_STEPS = 19
WORKSPACES = 10
SESSIONS = 30
#: Probability that a request starts a new session.
NEW_SESSION = 0.1
#: Requests per step that 16 engines can serve when most prefixes are cached.
FULL_LOAD_PER_STEP = 6.0


@dataclass(slots=True)
class Job:
    """The state of a request; times are in steps, -1 means not yet."""

    number: int
    workspace: int
    priority: int
    chain: tuple[int, ...]
    tokens: int
    arrived_at: int
    entry: int = 0
    poison: bool = False
    engine: int = -1
    started_at: int = -1
    first_token_at: int = -1
    finished_at: int = -1
    cached_blocks: int = 0
    attempts: int = 0
    refused: bool = False
    ticket: object = None

    @property
    def is_good(self) -> bool:
        """Return whether the first token came in time."""
        return (
            self.first_token_at >= 0
            and self.first_token_at - self.arrived_at < FIRST_TOKEN_STEPS
        )


class Snapshot(NamedTuple):
    """A load report of an engine, with the step at which it was taken."""

    running: int
    queued: int
    taken_at: int


class CacheChange(NamedTuple):
    """A change of an engine's prefix cache at a step."""

    step: int
    event: CacheEventView


@dataclass(slots=True)
class Engine:
    """An engine with a batch, a queue by priority and a prefix cache."""

    number: int
    alive: bool = True
    incarnation: int = 1
    slowdown: float = 1
    decodes: int = 0
    prefill_stall: float = 0
    token_gap: int = 1
    cache: OrderedDict[int, None] = field(default_factory=OrderedDict)
    waiting: list[tuple[int, int, Job]] = field(default_factory=list)
    running: list[tuple[int, int, Job]] = field(default_factory=list)
    awaiting_first_token: list[Job] = field(default_factory=list)
    token_gaps: Counter[int] = field(default_factory=Counter)
    cache_log: deque[CacheChange] = field(default_factory=deque)
    last_change: int = 0

    @property
    def request_count(self) -> int:
        """Return the number of queued and running requests."""
        return len(self.waiting) + len(self.running)

    def submit(self, job: Job) -> None:
        """Queue a job."""
        heappush(self.waiting, (job.priority, job.number, job))

    def step(self, now: int) -> list[Job]:
        """Run one step; return the jobs that finished or expired in it."""
        finished = self._fill_batch(now)
        if not self.running:
            self.token_gap = 1
            return finished
        if self.prefill_stall >= 1:
            self.prefill_stall -= 1
            self.token_gap += 1
            return finished
        self.prefill_stall += self.slowdown - 1
        self.decodes += 1
        self.token_gaps[self.token_gap] += len(self.running)
        self.token_gap = 1
        for started in self.awaiting_first_token:
            started.first_token_at = now
        self.awaiting_first_token.clear()
        while self.running and self.running[0][0] <= self.decodes:
            job = heappop(self.running)[-1]
            job.finished_at = now
            finished.append(job)
        return finished

    def crash(self) -> list[Job]:
        """Drop all state; return the jobs that were queued or running."""
        lost = [entry[-1] for entry in self.waiting + self.running]
        self.alive = False
        self.waiting.clear()
        self.running.clear()
        self.awaiting_first_token.clear()
        self.cache.clear()
        self.cache_log.clear()
        self.last_change = 0
        self.prefill_stall = 0
        return lost

    def _fill_batch(self, now: int) -> list[Job]:
        expired = []
        while self.waiting and len(self.running) < BATCH_SIZE:
            job = heappop(self.waiting)[-1]
            if now - job.arrived_at > CALLER_TIMEOUT_STEPS:
                expired.append(job)
                continue
            job.cached_blocks = self._count_cached(job.chain)
            uncached = len(job.chain) - job.cached_blocks
            self.prefill_stall += uncached / PREFILL_BLOCKS_PER_STEP
            self._store(job.chain, now)
            end = self.decodes + job.tokens
            heappush(self.running, (end, job.number, job))
            self.awaiting_first_token.append(job)
        return expired

    def _count_cached(self, chain: tuple[int, ...]) -> int:
        for index, block in enumerate(chain):
            if block not in self.cache:
                return index
        return len(chain)

    def _store(self, chain: tuple[int, ...], now: int) -> None:
        for block in chain:
            if block not in self.cache:
                self._record_change('stored', block, now)
        for block in reversed(chain):
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > CACHE_BLOCKS:
            self._record_change(
                'evicted', self.cache.popitem(last=False)[0], now
            )

    def _record_change(self, kind: Kind, block: int, now: int) -> None:
        self.last_change += 1
        event = CacheEventView(self.last_change, kind, block)
        self.cache_log.append(CacheChange(now, event))


class Workload:
    """Generates requests of workspaces' sessions, whose prompts grow.

    The workspaces' shares of the requests are unequal: a few are large.
    """

    def __init__(self, rng: Random, rate: float, entries: int) -> None:
        """Create new sessions; ``rate`` is in requests per step."""
        self._rng = rng
        self._rate = rate
        self._entries = entries
        self._count = 0
        self._shares = [1 / (1 + index) for index in range(WORKSPACES)]
        self._workspace_prefixes = [
            self._random_blocks(8) for _ in self._shares
        ]
        self._sessions = [
            [head + self._random_blocks(4) for _ in range(SESSIONS)]
            for head in self._workspace_prefixes
        ]

    def sample_arrivals(self, now: int) -> list[Job]:
        """Return the jobs that arrive in a step, approximately Poisson."""
        trials = 4 * int(self._rate + 1)
        chance = self._rate / trials
        hits = sum(self._rng.random() < chance for _ in range(trials))
        return [self._make_job(now) for _ in range(hits)]

    def _make_job(self, now: int) -> Job:
        rng = self._rng
        workspace = rng.choices(range(WORKSPACES), self._shares)[0]
        sessions = self._sessions[workspace]
        index = rng.randrange(SESSIONS)
        if len(sessions[index]) > 30 or rng.random() < NEW_SESSION:
            sessions[index] = self._workspace_prefixes[workspace]
        sessions[index] += self._random_blocks(3)
        self._count += 1
        return Job(
            self._count,
            workspace,
            workspace % 3,
            sessions[index],
            min(120, 4 + int(rng.expovariate(1 / 24))),
            now,
            rng.randrange(self._entries),
        )

    def _random_blocks(self, count: int) -> tuple[int, ...]:
        return tuple(self._rng.getrandbits(64) for _ in range(count))
