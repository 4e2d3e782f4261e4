"""Cutting a server-sent event stream into its events (WHATWG HTML, 9.2)."""

from __future__ import annotations

import re

MEDIA_EVENTS = 'text/event-stream'

#: An event beyond this many bytes means that the stream is damaged.
MAX_EVENT_BYTES = 4 * 1024 * 1024

_DONE = re.compile(rb'^data: ?\[DONE\]\r?$', re.MULTILINE)
_ERROR = re.compile(rb'^event: ?error\r?$', re.MULTILINE)
_BOUNDARY = re.compile(rb'\r?\n\r?\n')


class EventBuffer:
    """Cuts arriving bytes into events, each with its closing blank line."""

    def __init__(self) -> None:
        """Start empty."""
        self._buffer = b''

    @property
    def partial(self) -> bool:
        """Tell whether the start of an event waits for its rest."""
        return bool(self._buffer)

    def rest(self) -> bytes:
        """Return the bytes behind the last event."""
        return self._buffer

    def feed(self, received: bytes) -> list[bytes]:
        """Return the events that are complete now.

        Raises:
            ValueError: when one event grows beyond all bounds.
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
    """Tell whether an event closes a complete stream."""
    return b'[DONE]' in event and _DONE.search(event) is not None


def is_error(event: bytes) -> bool:
    """Tell whether an event says that the stream failed."""
    return event.startswith(b'event') and _ERROR.search(event) is not None


def is_comment(event: bytes) -> bool:
    """Tell whether an event carries nothing but a comment."""
    return event.startswith(b':')
