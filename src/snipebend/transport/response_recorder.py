"""Records the outcome of an attempt and, if asked to, its response.

The agent returns a recorded response to seals of the attempt.
"""

from __future__ import annotations

from enum import Enum

from snipebend.state.claims import StoredAnswer
from snipebend.transport.frames import Broken, Chunk, End, Frame, Head


class UpstreamOutcome(Enum):
    """Outcome of an attempt at the upstream."""

    COMPLETE = 'complete'
    #: The upstream aborted after something was sent to it.
    BROKEN = 'broken'
    #: The upstream aborted, and its address refuses connections.
    DIED = 'died'
    #: Nothing was sent to the upstream.
    UNSENT = 'unsent'
    #: The requester disconnected first, or the attempt is still running.
    INTERRUPTED = 'cut'


_CONTENT_TYPE = 'content-type'


class ResponseRecorder:
    """Records one response up to a limit of bytes; 0 stores nothing."""

    def __init__(self, limit: int) -> None:
        """Initialize before the first frame."""
        self.chunks = 0
        self.outcome = UpstreamOutcome.INTERRUPTED
        self._remaining_bytes = limit
        self._head: Head | None = None
        self._parts: list[bytes] | None = [] if limit else None

    @property
    def answer(self) -> StoredAnswer | None:
        """Return the response if it is complete and within the limit."""
        complete = self.outcome is UpstreamOutcome.COMPLETE
        if not complete or self._head is None or self._parts is None:
            return None
        content_type = next(
            (
                text
                for name, text in self._head.headers
                if name.lower() == _CONTENT_TYPE
            ),
            '',
        )
        body = b''.join(self._parts)
        return StoredAnswer(self._head.status, content_type, body)

    def record(self, frames: list[Frame]) -> None:
        """Record the next frames."""
        for frame in frames:
            match frame:
                case Head():
                    self._head = frame
                case Chunk(payload=payload):
                    self._record_chunk(payload)
                case End():
                    self.outcome = UpstreamOutcome.COMPLETE
                case Broken(died=True):
                    self.outcome = UpstreamOutcome.DIED
                case Broken(ran=ran):
                    self.outcome = (
                        UpstreamOutcome.BROKEN
                        if ran
                        else UpstreamOutcome.UNSENT
                    )

    def _record_chunk(self, payload: bytes) -> None:
        self.chunks += 1
        self._remaining_bytes -= len(payload)
        if self._remaining_bytes < 0:
            self._parts = None
        if self._parts is not None:
            self._parts.append(payload)
