"""Forwards a stream of events to the caller, over one or more calls."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from snipebend.edge.http_headers import end_to_end
from snipebend.transport.body_framing import BodyFraming
from snipebend.transport.events import EventBuffer

if TYPE_CHECKING:
    from collections.abc import Callable

    from snipebend.edge.response_writer import ResponseWriter
    from snipebend.relay.facts import ResponseHead

_EVENT_ID = re.compile(rb'(?:^|[\r\n])id: ?(\d+)(?=[\r\n])')


class StreamRelay:
    """Forwards complete events, and tracks the last one.

    The caller receives the head of the first call with its first event. A later
    call resumes after the last event; its head is dropped.
    """

    def __init__(
        self,
        response: ResponseWriter,
        now: Callable[[], float],
        on_pause: Callable[[int, float], None],
    ) -> None:
        """Create a relay to ``response``; ``begin`` starts the first call.

        ``on_pause`` receives the number of events and the seconds before them;
        the number is 0 for the first events of a call, since the pause before
        them is not a pass time of a single group.
        """
        self._now = now
        self._on_pause = on_pause
        self._last_events_at: float | None = None
        #: Whether no event of the current call has been received.
        self._is_first = True
        self.resume_after: int | None = None
        self.events = 0
        self._response = response
        self._head: ResponseHead | None = None
        self._buffer = EventBuffer()

    @property
    def partial_bytes(self) -> int:
        """Return the bytes received after the last complete event."""
        return len(self._buffer.rest())

    def begin(self, head: ResponseHead) -> None:
        """Start a call; an incomplete event of an earlier one is dropped."""
        self._buffer = EventBuffer()
        self._is_first = True
        if not self._response.started:
            self._head = head

    def feed(self, data: bytes) -> bool:
        """Forward complete events; return whether there were any."""
        events = self._buffer.feed(data)
        if not events:
            return False
        self._begin_response()
        self._record_pause(len(events))
        for event in events:
            self._record_event(event)
        self._response.write(b''.join(events))
        return True

    def find_break(self, framing: BodyFraming) -> str:
        """Return why the current call can't end here; empty if it can."""
        if self._buffer.partial:
            return (
                f'the stream ends after {self.partial_bytes} bytes of an event'
            )
        if self._is_first and framing is BodyFraming.CLOSE:
            # A close without an event is no evidence that there are none.
            return 'the stream ends before its first event'
        return ''

    def end(self) -> None:
        """End the response, including blank lines after the last event."""
        self._begin_response()
        self._response.write(self._buffer.rest())
        self._response.end()

    def _begin_response(self) -> None:
        if self._response.started or self._head is None:
            return
        head = self._head
        self._response.begin(
            head.status, head.reason, list(end_to_end(head.headers))
        )

    def _record_pause(self, events: int) -> None:
        now = self._now()
        if self._last_events_at is not None:
            self._on_pause(
                0 if self._is_first else events, now - self._last_events_at
            )
        self._is_first = False
        self._last_events_at = now

    def _record_event(self, event: bytes) -> None:
        self.events += 1
        found = _EVENT_ID.search(event)
        if found:
            self.resume_after = int(found[1])
