"""Numbers and orders the chunks of a response, and keeps a copy of it."""

from __future__ import annotations

from enum import Enum


class ChunkFault(Enum):
    """Why a stream cannot continue."""

    #: Too many chunks arrived ahead of a missing one.
    TOO_FAR_AHEAD = 'too-far-ahead'
    #: The stream ended with chunks missing.
    INCOMPLETE = 'incomplete'


class ChunkSequencer:
    """Releases chunks in order and once each, buffering a bounded number.

    ``next_seq`` is the number of the first chunk not yet released, from which
    a resumed attempt starts.
    """

    def __init__(
        self,
        next_seq: int,
        *,
        max_chunks: int,
        max_bytes: int,
    ) -> None:
        """Expect ``next_seq`` first; buffer at most the given amounts."""
        self.next_seq = next_seq
        self._max_chunks = max_chunks
        self._max_bytes = max_bytes
        self._ahead: dict[int, bytes] = {}
        self._ahead_bytes = 0

    def add(self, seq: int, payload: bytes) -> list[bytes] | ChunkFault:
        """Add a chunk and return those that are next in order.

        Duplicates are dropped.
        """
        if seq < self.next_seq or seq in self._ahead:
            return []
        self._ahead[seq] = payload
        self._ahead_bytes += len(payload)
        ready = self._pop_ready()
        if self._exceeds_bounds():
            return ChunkFault.TOO_FAR_AHEAD
        return ready

    def finish(self, chunks: int | None) -> ChunkFault | None:
        """Check that no chunk is missing at the end of the stream.

        ``chunks`` is the length of the complete response, if the sender
        reported it.
        """
        is_short = chunks is not None and chunks != self.next_seq
        if self._ahead or is_short:
            return ChunkFault.INCOMPLETE
        return None

    def _pop_ready(self) -> list[bytes]:
        ready = []
        while self.next_seq in self._ahead:
            payload = self._ahead.pop(self.next_seq)
            self._ahead_bytes -= len(payload)
            ready.append(payload)
            self.next_seq += 1
        return ready

    def _exceeds_bounds(self) -> bool:
        is_long = len(self._ahead) > self._max_chunks
        return is_long or self._ahead_bytes > self._max_bytes


class ChunkNumberer:
    """Numbers the chunks of an upstream's response at the agent.

    An engine that supports resuming starts at ``first``. Any other engine
    repeats the response from its start, and the chunks before ``first`` are
    dropped.
    """

    def __init__(self, first: int, *, engine_resumes: bool) -> None:
        """Create a numberer; ``first`` is the ticket's ``resume_from``."""
        self._first = first
        self._next_seq = first if engine_resumes else 0

    @property
    def chunks(self) -> int:
        """Return the number of chunks of the response so far."""
        return self._next_seq

    def number(self) -> int | None:
        """Return the number of the next chunk, None if it is to be dropped."""
        seq = self._next_seq
        self._next_seq += 1
        return seq if seq >= self._first else None


class BodyCopy:
    """A copy of a body for resends, discarded above a size limit."""

    def __init__(self, max_bytes: int) -> None:
        """Create a copy that holds up to ``max_bytes``."""
        self._max_bytes = max_bytes
        self._size = 0
        self._parts: list[bytes] = []

    def add(self, payload: bytes) -> None:
        """Append a chunk; discard the copy once it exceeds the limit."""
        self._size += len(payload)
        if self._size > self._max_bytes:
            self._parts.clear()
        else:
            self._parts.append(payload)

    def complete_body(self) -> bytes | None:
        """Return the body, None if it exceeded the limit."""
        if self._size > self._max_bytes:
            return None
        return b''.join(self._parts)
