"""Watching an answer go by, and keeping it for inquiries if asked to."""

from __future__ import annotations

from enum import Enum

from snipebend.state.claims import StoredAnswer
from snipebend.transport.frames import Broken, Chunk, End, Frame, Head


class Ending(Enum):
    """How an attempt at the upstream ended."""

    COMPLETE = 'complete'
    #: The upstream broke off after it was sent something.
    BROKEN = 'broken'
    #: As before, and the upstream is gone.
    DIED = 'died'
    #: Nothing was sent to the upstream.
    UNSENT = 'unsent'
    #: The asker was gone first, or it hasn't ended.
    CUT = 'cut'


_CONTENT_TYPE = 'content-type'


class AnswerKeeper:
    """Collects one answer up to a bound of bytes; 0 keeps nothing."""

    def __init__(self, limit: int) -> None:
        """Start before the first frame."""
        self.chunks = 0
        self.ending = Ending.CUT
        self._room = limit
        self._head: Head | None = None
        self._parts: list[bytes] | None = [] if limit else None

    @property
    def answer(self) -> StoredAnswer | None:
        """Return the answer if it is complete and fitted."""
        complete = self.ending is Ending.COMPLETE
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

    def note(self, frames: list[Frame]) -> None:
        """Take the next frames."""
        for frame in frames:
            match frame:
                case Head():
                    self._head = frame
                case Chunk(payload=payload):
                    self._keep(payload)
                case End():
                    self.ending = Ending.COMPLETE
                case Broken(died=True):
                    self.ending = Ending.DIED
                case Broken(ran=ran):
                    self.ending = Ending.BROKEN if ran else Ending.UNSENT

    def _keep(self, payload: bytes) -> None:
        self.chunks += 1
        self._room -= len(payload)
        if self._room < 0:
            self._parts = None
        if self._parts is not None:
            self._parts.append(payload)
