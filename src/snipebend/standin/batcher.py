"""Continuous batching without a clock; each call of ``step`` runs one step."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple
from zlib import crc32

from snipebend.standin.prefix_cache import BLOCK_CHARS, hash_chain

if TYPE_CHECKING:
    from snipebend.standin.prefix_cache import CacheChange, PrefixCache

#: Number of distinct tags that mark the tokens of a prompt.
PROMPT_TAG_COUNT = 9973
CHARS_PER_TOKEN = 4


class Submission(NamedTuple):
    """A request to the batcher; higher priorities are admitted first.

    ``resume_from`` is the number of the first token to generate.
    """

    request_id: str
    prompt: str
    max_tokens: int
    priority: int = 0
    resume_from: int = 0


@dataclass(slots=True)
class Sequence:
    """The state of a submission that is queued or running.

    ``next_seq`` numbers its next token; prefill is complete at ``ready_at``.
    """

    ticket: int
    submission: Submission
    next_seq: int
    ready_at: float = 0
    cached_blocks: int = 0

    @property
    def cached_tokens(self) -> int:
        """Return the number of prompt tokens whose prefill the cache saved."""
        return self.cached_blocks * BLOCK_CHARS // CHARS_PER_TOKEN


class Token(NamedTuple):
    """A generated token, numbered ``seq`` within its sequence."""

    ticket: int
    seq: int
    text: str
    last: bool


class StepOutcome(NamedTuple):
    """The sequences admitted, tokens generated and cache changes of a step."""

    admitted: tuple[Sequence, ...]
    tokens: tuple[Token, ...]
    changes: tuple[CacheChange, ...]


def count_tokens(text: str) -> int:
    """Return the number of tokens of four characters, rounded up."""
    return -(-len(text) // CHARS_PER_TOKEN)


def render_token(prompt: str, seq: int) -> str:
    """Return the text of the token at ``seq``.

    It depends only on the prompt and ``seq``, so that a resumed request
    generates the same tokens.
    """
    tag = crc32(prompt.encode()) % PROMPT_TAG_COUNT
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
        """Create a batcher without sequences.

        Prefill takes ``prefill_s_per_block`` for each prompt block that is not
        in the cache.
        """
        self._cache = cache
        self._batch_size = batch_size
        self._prefill_s_per_block = prefill_s_per_block
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._running: dict[int, Sequence] = {}
        self._last_ticket = 0

    @property
    def queued(self) -> int:
        """Return the number of queued sequences."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Return the number of sequences in the batch."""
        return len(self._running)

    @property
    def is_idle(self) -> bool:
        """Return whether no sequence is queued or running."""
        return not (self._waiting or self._running)

    def submit(self, submission: Submission) -> Sequence:
        """Queue a submission; tickets number submissions in arrival order."""
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
        """Remove a sequence from the queue or the batch."""
        self._running.pop(ticket, None)
        self._waiting = [entry for entry in self._waiting if entry[1] != ticket]
        heapq.heapify(self._waiting)

    def step(self, now: float) -> StepOutcome:
        """Fill the batch, then generate a token for each prefilled sequence."""
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
        text = render_token(submission.prompt, seq)
        return Token(sequence.ticket, seq, text, last)
