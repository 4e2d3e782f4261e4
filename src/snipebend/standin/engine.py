"""The stand-in engine: the batching loop and the streams that it feeds."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from snipebend.standin.batcher import Batcher, Sequence, Submission, Token
from snipebend.standin.executions import ExecutionLedger
from snipebend.standin.expert_load import ExpertMeter
from snipebend.standin.orders import OrderDesk
from snipebend.standin.prefix_cache import PrefixCache
from snipebend.standin.reports import (
    CacheFeed,
    CacheSnapshot,
    LoadHistory,
    LoadReport,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from snipebend.standin.reports import CacheEvent
    from snipebend.standin.settings import EngineConfig

MS_PER_S = 1000
MIN_STEP_S = 0.0005


class Cancelled(NamedTuple):
    """The end of a stream that was cancelled."""


class Stream(NamedTuple):
    """A submitted request: its progress and its tokens as they come."""

    sequence: Sequence
    key: str
    tokens: asyncio.Queue[Token | Cancelled]


class Engine:
    """Owns the batch, the cache and the loop that steps them.

    The step number is the time since the start in steps, so it grows while
    the engine is idle, at no cost.
    """

    def __init__(
        self,
        cfg: EngineConfig,
        *,
        clock: Callable[[], float],
        on_crash: Callable[[], None],
    ) -> None:
        """Prepare an engine; ``clock`` gives seconds, as the loop's time."""
        self.cfg = cfg
        self.ledger = ExecutionLedger()
        self.orders = OrderDesk(check_fence=cfg.check_fence)
        self.experts = ExpertMeter(cfg)
        self._clock = clock
        self._on_crash = on_crash
        self._started_at = clock()
        self._step_s = max(cfg.step_ms / MS_PER_S, MIN_STEP_S)
        self._cache = PrefixCache(cfg.cache_blocks)
        self._batcher = Batcher(
            self._cache,
            batch_size=cfg.batch_size,
            prefill_s_per_block=cfg.prefill_ms_per_block / MS_PER_S,
        )
        lag_s = cfg.report_lag_ms / MS_PER_S
        self._loads = LoadHistory(self._measure(), lag_s)
        self._feed = CacheFeed(
            Random(cfg.seed),
            lag_s=lag_s,
            gap_rate=cfg.gap_rate,
        )
        self._streams: dict[int, Stream] = {}
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    @property
    def step(self) -> int:
        """Return the number of the present step."""
        return int((self._clock() - self._started_at) / self._step_s)

    @property
    def running(self) -> int:
        """Return the number of requests in the batch."""
        return self._batcher.running

    def start(self) -> None:
        """Start the batching loop, if it doesn't run yet."""
        if self._task is None:
            self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the batching loop and cancel what is left."""
        for ticket in tuple(self._streams):
            self._cancel_ticket(ticket)
        if self._task is not None:
            self._task.cancel()
            with suppress(asyncio.CancelledError):
                await self._task
            self._task = None

    def submit(self, submission: Submission, key: str = '') -> Stream:
        """Queue a request; ``key`` is its idempotency key, if it has one."""
        self.start()
        sequence = self._batcher.submit(submission)
        stream = Stream(sequence, key, asyncio.Queue())
        self._streams[sequence.ticket] = stream
        self._loads.add(self._measure())
        self._wake.set()
        return stream

    def cancel(self, request_id: str) -> int:
        """Cancel every attempt of a request; return how many there were."""
        tickets = [
            ticket
            for ticket, stream in self._streams.items()
            if stream.sequence.submission.request_id == request_id
        ]
        for ticket in tickets:
            self._cancel_ticket(ticket)
        return len(tickets)

    def cancel_stream(self, stream: Stream) -> None:
        """Cancel one attempt; one that has ended already stays as it is."""
        if stream.sequence.ticket in self._streams:
            self._cancel_ticket(stream.sequence.ticket)

    def load(self) -> LoadReport:
        """Return the load as it was one lag ago."""
        return self._loads.visible(self._clock())

    def cache_events(self, after: int) -> list[CacheEvent]:
        """Return the visible cache events with numbers above ``after``."""
        return self._feed.after(after, self._clock())

    def cache_snapshot(self) -> CacheSnapshot:
        """Return the whole cache as it is now."""
        return CacheSnapshot(self._feed.seq, self._cache.prefixes)

    async def _run(self) -> None:
        while True:
            if self._batcher.idle:
                self._wake.clear()
                await self._wake.wait()
            next_at = self._started_at + (self.step + 1) * self._step_s
            await asyncio.sleep(max(next_at - self._clock(), 0))
            self._step_once()

    def _step_once(self) -> None:
        now = self._clock()
        outcome = self._batcher.step(now)
        for sequence in outcome.admitted:
            self._note_start(sequence)
        for change in outcome.changes:
            self._feed.add(change, now)
        for token in outcome.tokens:
            self._deliver(token)
        self.experts.add_tokens(len(outcome.tokens))
        self._loads.add(self._measure())

    def _note_start(self, sequence: Sequence) -> None:
        stream = self._streams[sequence.ticket]
        self.ledger.start(sequence.submission.request_id, key=stream.key)
        marker = self.cfg.crash_marker
        if marker and marker in sequence.submission.prompt:
            self._on_crash()

    def _deliver(self, token: Token) -> None:
        stream = self._streams[token.ticket]
        stream.tokens.put_nowait(token)
        if token.last:
            self._streams.pop(token.ticket)
            self.ledger.finished += 1

    def _cancel_ticket(self, ticket: int) -> None:
        stream = self._streams.pop(ticket)
        self._batcher.cancel(ticket)
        self.ledger.cancelled += 1
        stream.tokens.put_nowait(Cancelled())
        self._loads.add(self._measure())

    def _measure(self) -> LoadReport:
        return LoadReport(
            running=self._batcher.running,
            queued=self._batcher.queued,
            kv_used_blocks=len(self._cache),
            kv_blocks=self._cache.capacity,
            step=self.step,
            taken_at=self._clock(),
        )
