"""Splits server-sent event streams into events (WHATWG HTML, 9.2)."""

from __future__ import annotations

import re

MEDIA_EVENTS = 'text/event-stream'

#: A larger event, in bytes, means that the stream is corrupt.
MAX_EVENT_BYTES = 4 * 1024 * 1024

_DONE = re.compile(rb'(?:^|[\r\n])data: ?\[DONE\](?=[\r\n])')
_ERROR = re.compile(rb'(?:^|[\r\n])event: ?error(?=[\r\n])')
_NO_EVENT = re.compile(rb'(?::[^\r\n]*[\r\n]|[\r\n])*')
#: Lines end with CRLF, LF or CR.
_BOUNDARY = re.compile(rb'\r?\n\r?\n|\r\r')


class EventBuffer:
    """Splits received bytes into events with their closing blank lines."""

    def __init__(self) -> None:
        """Initialize with an empty buffer."""
        self._buffer = b''

    @property
    def partial(self) -> bool:
        """Return whether an incomplete event is buffered.

        Blank lines and comments after an event belong to no other event.
        """
        return _NO_EVENT.fullmatch(self._buffer) is None

    def rest(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._buffer

    def feed(self, received: bytes) -> list[bytes]:
        """Add received bytes and return the events that they complete.

        Raises:
            ValueError: if an incomplete event exceeds ``MAX_EVENT_BYTES``.
        """
        buffer = self._buffer + received if self._buffer else received
        events: list[bytes] = []
        start = 0
        for boundary in _BOUNDARY.finditer(buffer):
            events.append(buffer[start : boundary.end()])
            start = boundary.end()
        self._buffer = buffer[start:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError('an event without end')
        return events


def is_done(event: bytes) -> bool:
    """Return whether an event ends a complete stream."""
    return b'[DONE]' in event and _DONE.search(event) is not None


def is_error(event: bytes) -> bool:
    """Return whether an event reports that the stream failed."""
    return event.startswith(b'event') and _ERROR.search(event) is not None


def is_comment(event: bytes) -> bool:
    """Return whether an event contains only a comment."""
    return event.startswith(b':')
