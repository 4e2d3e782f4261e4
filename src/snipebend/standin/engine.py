"""The stand-in engine: a batching loop that sends tokens to streams."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING, NamedTuple

from snipebend.standin.batcher import Batcher, Sequence, Submission, Token
from snipebend.standin.executions import ExecutionLedger
from snipebend.standin.expert_load import ExpertLoadCounter
from snipebend.standin.orders import OrderExecutor
from snipebend.standin.prefix_cache import PrefixCache
from snipebend.standin.reporter import Reporter
from snipebend.standin.settings import MS_PER_S
from snipebend.standin.step_clock import StepClock

if TYPE_CHECKING:
    from collections.abc import Callable

    from snipebend.standin.settings import EngineConfig

#: Shortest step in seconds; the step clock divides by the length of a step.
MIN_STEP_S = 0.0005


class Cancelled(NamedTuple):
    """Marks the end of the tokens of a cancelled stream."""


class Stream(NamedTuple):
    """A submitted request: its sequence and its queue of generated tokens."""

    sequence: Sequence
    key: str
    tokens: asyncio.Queue[Token | Cancelled]


class Engine:
    """Runs the batcher step by step and reports on its load and its cache."""

    def __init__(
        self,
        cfg: EngineConfig,
        *,
        clock: Callable[[], float],
        on_crash: Callable[[], None],
    ) -> None:
        """Create an engine; ``clock`` returns seconds like the loop's time.

        ``on_crash`` is called when a prompt with the crash marker enters the
        batch; if it returns, the engine runs no further step.
        """
        self.cfg = cfg
        self.ledger = ExecutionLedger()
        self.orders = OrderExecutor(check_fence=cfg.check_fence)
        self.experts = ExpertLoadCounter(cfg)
        step_s = max(cfg.step_ms / MS_PER_S, MIN_STEP_S)
        self.clock = StepClock(clock, step_s)
        cache = PrefixCache(cfg.cache_blocks)
        self.batcher = Batcher(
            cache,
            batch_size=cfg.batch_size,
            prefill_s_per_block=cfg.prefill_ms_per_block / MS_PER_S,
        )
        self.reporter = Reporter(
            cfg,
            clock=self.clock,
            batcher=self.batcher,
            cache=cache,
        )
        self._on_crash = on_crash
        self._streams: dict[int, Stream] = {}
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the batching loop unless it is running."""
        if self._task is None:
            self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the batching loop and cancel the remaining requests."""
        for ticket in tuple(self._streams):
            self._cancel_ticket(ticket)
        if self._task is not None:
            self._task.cancel()
            with suppress(asyncio.CancelledError):
                await self._task
            self._task = None

    def submit(self, submission: Submission, key: str = '') -> Stream:
        """Queue a request; ``key`` is its idempotency key or empty."""
        self.start()
        sequence = self.batcher.submit(submission)
        stream = Stream(sequence, key, asyncio.Queue())
        self._streams[sequence.ticket] = stream
        self.reporter.record_load()
        self._wake.set()
        return stream

    def cancel(self, request_id: str) -> int:
        """Cancel all attempts of a request; return their number."""
        tickets = [
            ticket
            for ticket, stream in self._streams.items()
            if stream.sequence.submission.request_id == request_id
        ]
        for ticket in tickets:
            self._cancel_ticket(ticket)
        return len(tickets)

    def cancel_stream(self, stream: Stream) -> None:
        """Cancel one attempt unless it has finished."""
        if stream.sequence.ticket in self._streams:
            self._cancel_ticket(stream.sequence.ticket)

    async def _run(self) -> None:
        crashed = False
        while not crashed:
            if self.batcher.is_idle:
                self._wake.clear()
                await self._wake.wait()
            delay_s = self.clock.next_step_at - self.clock.now()
            await asyncio.sleep(max(delay_s, 0))
            if not self.clock.is_held:
                crashed = self._run_step()
        self._on_crash()

    def _run_step(self) -> bool:
        """Run one step; return whether a request has crashed the engine."""
        outcome = self.batcher.step(self.clock.now())
        for sequence in outcome.admitted:
            stream = self._streams[sequence.ticket]
            self.ledger.start(sequence.submission.request_id, key=stream.key)
        if any(map(self._has_crash_marker, outcome.admitted)):
            return True
        for token in outcome.tokens:
            self._deliver(token)
        self.experts.add_tokens(len(outcome.tokens))
        self.reporter.record_cache_changes(outcome.changes)
        self.reporter.record_load()
        return False

    def _has_crash_marker(self, sequence: Sequence) -> bool:
        marker = self.cfg.crash_marker
        return bool(marker) and marker in sequence.submission.prompt

    def _deliver(self, token: Token) -> None:
        stream = self._streams[token.ticket]
        stream.tokens.put_nowait(token)
        if token.last:
            self._streams.pop(token.ticket)
            self.ledger.finished += 1

    def _cancel_ticket(self, ticket: int) -> None:
        stream = self._streams.pop(ticket)
        self.batcher.cancel(ticket)
        self.ledger.cancelled += 1
        stream.tokens.put_nowait(Cancelled())
        self.reporter.record_load()
