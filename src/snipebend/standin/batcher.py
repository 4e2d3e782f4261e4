"""Continuous batching without a clock: one call of ``step`` is one step."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple
from zlib import crc32

from snipebend.standin.prefix_cache import BLOCK_CHARS, hash_chain

if TYPE_CHECKING:
    from snipebend.standin.prefix_cache import CacheChange, PrefixCache

ANSWER_TAGS = 9973
CHARS_PER_TOKEN = 4


class Submission(NamedTuple):
    """One request as the batcher sees it; higher priorities go first."""

    request_id: str
    prompt: str
    max_tokens: int
    priority: int = 0
    resume_from: int = 0


@dataclass(slots=True)
class Sequence:
    """A submission on its way through the batch."""

    ticket: int
    submission: Submission
    next_seq: int
    ready_at: float = 0
    cached_blocks: int = 0

    @property
    def cached_tokens(self) -> int:
        """Return the prompt tokens that the cache saved."""
        return self.cached_blocks * BLOCK_CHARS // CHARS_PER_TOKEN


class Token(NamedTuple):
    """One answer token of one sequence."""

    ticket: int
    seq: int
    text: str
    last: bool


class StepOutcome(NamedTuple):
    """What one step did."""

    admitted: tuple[Sequence, ...]
    tokens: tuple[Token, ...]
    changes: tuple[CacheChange, ...]


def count_tokens(text: str) -> int:
    """Return the length in tokens of four characters, rounded up."""
    return -(-len(text) // CHARS_PER_TOKEN)


def token_text(prompt: str, seq: int) -> str:
    """Return the token at ``seq``; it depends on nothing but the prompt."""
    tag = crc32(prompt.encode()) % ANSWER_TAGS
    return f' w{tag}-{seq}'


class Batcher:
    """A queue by priority and arrival, and a batch of running sequences."""

    def __init__(
        self,
        cache: PrefixCache,
        *,
        batch_size: int,
        prefill_s_per_block: float,
    ) -> None:
        """Start idle; prefill costs seconds for each block not in the cache."""
        self._cache = cache
        self._batch_size = batch_size
        self._prefill_s_per_block = prefill_s_per_block
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._running: dict[int, Sequence] = {}
        self._last_ticket = 0

    @property
    def queued(self) -> int:
        """Return the number of sequences that wait."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Return the number of sequences in the batch."""
        return len(self._running)

    @property
    def idle(self) -> bool:
        """Tell whether a step would do nothing."""
        return not (self._waiting or self._running)

    def submit(self, submission: Submission) -> Sequence:
        """Queue a submission; its ticket is its place among all arrivals."""
        self._last_ticket += 1
        sequence = Sequence(
            self._last_ticket,
            submission,
            submission.resume_from,
        )
        entry = (-submission.priority, sequence.ticket, sequence)
        heapq.heappush(self._waiting, entry)
        return sequence

    def cancel(self, ticket: int) -> None:
        """Forget a sequence, be it queued or running."""
        self._running.pop(ticket, None)
        self._waiting = [entry for entry in self._waiting if entry[1] != ticket]
        heapq.heapify(self._waiting)

    def step(self, now: float) -> StepOutcome:
        """Fill the batch, then give each prefilled sequence one token."""
        admitted: list[Sequence] = []
        changes: list[CacheChange] = []
        while self._waiting and len(self._running) < self._batch_size:
            sequence = heapq.heappop(self._waiting)[-1]
            changes.extend(self._admit(sequence, now))
            admitted.append(sequence)
        tokens = tuple(
            self._advance(sequence)
            for sequence in tuple(self._running.values())
            if sequence.ready_at <= now
        )
        return StepOutcome(tuple(admitted), tokens, tuple(changes))

    def _admit(self, sequence: Sequence, now: float) -> list[CacheChange]:
        prompt = sequence.submission.prompt
        chain = hash_chain(prompt)
        sequence.cached_blocks = self._cache.count_cached(chain)
        blocks = -(-len(prompt) // BLOCK_CHARS)
        uncached = blocks - sequence.cached_blocks
        sequence.ready_at = now + uncached * self._prefill_s_per_block
        self._running[sequence.ticket] = sequence
        return self._cache.store(chain)

    def _advance(self, sequence: Sequence) -> Token:
        submission = sequence.submission
        seq = sequence.next_seq
        sequence.next_seq += 1
        last = sequence.next_seq >= submission.max_tokens
        if last:
            self._running.pop(sequence.ticket)
        text = token_text(submission.prompt, seq)
        return Token(sequence.ticket, seq, text, last)
