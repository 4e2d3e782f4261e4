"""Numbered chunks of an answer: putting them in order, keeping a copy."""

from __future__ import annotations

from enum import Enum


class ChunkFault(Enum):
    """Why a stream can't go on."""

    #: Chunks ran too far ahead of a missing one.
    TOO_FAR_AHEAD = 'too-far-ahead'
    #: The end came while chunks were missing.
    INCOMPLETE = 'incomplete'


class ChunkSequencer:
    """Hands on chunks in order, each once, within a bound on those ahead.

    ``next_seq`` is the number of the first chunk not handed on yet: what a
    resumed attempt starts from.
    """

    def __init__(
        self,
        next_seq: int,
        *,
        max_chunks: int,
        max_bytes: int,
    ) -> None:
        """Expect ``next_seq`` first; hold back at most so much."""
        self.next_seq = next_seq
        self._max_chunks = max_chunks
        self._max_bytes = max_bytes
        self._ahead: dict[int, bytes] = {}
        self._ahead_bytes = 0

    def take(self, seq: int, payload: bytes) -> list[bytes] | ChunkFault:
        """Return the chunks that can be handed on now; drop a duplicate."""
        if seq < self.next_seq or seq in self._ahead:
            return []
        self._ahead[seq] = payload
        self._ahead_bytes += len(payload)
        ready = self._take_ready()
        if self._is_over_bound():
            return ChunkFault.TOO_FAR_AHEAD
        return ready

    def finish(self, chunks: int | None) -> ChunkFault | None:
        """Check that nothing is missing before the end.

        ``chunks`` is the length of the whole answer, if the sender told it.
        """
        is_short = chunks is not None and chunks != self.next_seq
        if self._ahead or is_short:
            return ChunkFault.INCOMPLETE
        return None

    def _take_ready(self) -> list[bytes]:
        ready = []
        while self.next_seq in self._ahead:
            payload = self._ahead.pop(self.next_seq)
            self._ahead_bytes -= len(payload)
            ready.append(payload)
            self.next_seq += 1
        return ready

    def _is_over_bound(self) -> bool:
        is_long = len(self._ahead) > self._max_chunks
        return is_long or self._ahead_bytes > self._max_bytes


class ChunkNumberer:
    """Numbers the chunks of an upstream at the agent.

    An engine that resumes by itself starts at ``first``; one that can't
    repeats the answer from its start, whose chunks before ``first`` are
    dropped.
    """

    def __init__(self, first: int, *, engine_resumes: bool) -> None:
        """Start at ``first``, the ticket's ``resume_from``."""
        self._first = first
        self._next_seq = first if engine_resumes else 0

    @property
    def chunks(self) -> int:
        """Return the length of the answer up to here, in chunks."""
        return self._next_seq

    def number(self) -> int | None:
        """Return the number of the next chunk, None if it isn't wanted."""
        seq = self._next_seq
        self._next_seq += 1
        return seq if seq >= self._first else None


class BodyCopy:
    """A copy of a body for resends, given up beyond a bound in bytes."""

    def __init__(self, max_bytes: int) -> None:
        """Keep bodies of up to ``max_bytes``."""
        self._max_bytes = max_bytes
        self._size = 0
        self._parts: list[bytes] = []

    def add(self, payload: bytes) -> None:
        """Append a piece; forget all of them once they are too long."""
        self._size += len(payload)
        if self._size > self._max_bytes:
            self._parts.clear()
        else:
            self._parts.append(payload)

    def whole(self) -> bytes | None:
        """Return the body, None if it was too long."""
        if self._size > self._max_bytes:
            return None
        return b''.join(self._parts)
