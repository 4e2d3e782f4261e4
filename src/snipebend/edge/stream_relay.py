"""A stream of events on its way to the caller, over one or more calls."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from snipebend.edge.http_headers import end_to_end
from snipebend.transport.events import EventBuffer

if TYPE_CHECKING:
    from collections.abc import Callable

    from snipebend.edge.answer_writer import AnswerWriter
    from snipebend.relay.facts import ResponseHead

_EVENT_ID = re.compile(rb'^id: ?(\d+)\r?$', re.MULTILINE)


class StreamRelay:
    """Passes whole events on, and knows the last one.

    The caller gets the head of the first call with its first event. A later
    call goes on behind the last event; its head is dropped.
    """

    def __init__(
        self,
        answer: AnswerWriter,
        now: Callable[[], float],
        on_pause: Callable[[int, float], None],
    ) -> None:
        """Start before the first call.

        ``on_pause`` is told of events and the seconds before them; of 0 events
        for the first ones of a call, since no pass of one group was between.
        """
        self._now = now
        self._on_pause = on_pause
        self._piece_at: float | None = None
        #: No event of the present call came yet.
        self._is_first = True
        self.resume_after: int | None = None
        self.events = 0
        self._answer = answer
        self._head: ResponseHead | None = None
        self._buffer = EventBuffer()

    def begin(self, head: ResponseHead) -> None:
        """Begin a call; what an earlier one left unfinished is dropped."""
        self._buffer = EventBuffer()
        self._is_first = True
        if not self._answer.begun:
            self._head = head

    def take(self, data: bytes) -> bool:
        """Pass on what is whole; tell whether there was any."""
        events = self._buffer.feed(data)
        if not events:
            return False
        self._begin_answer()
        self._note_pause(len(events))
        for event in events:
            self._note(event)
        self._answer.write(b''.join(events))
        return True

    def end(self) -> None:
        """End the answer; bytes behind the last event belong to it."""
        self._begin_answer()
        self._answer.write(self._buffer.rest())
        self._answer.end()

    def _begin_answer(self) -> None:
        if self._answer.begun or self._head is None:
            return
        head = self._head
        self._answer.begin(
            head.status, head.reason, list(end_to_end(head.headers))
        )

    def _note_pause(self, events: int) -> None:
        now = self._now()
        if self._piece_at is not None:
            self._on_pause(
                0 if self._is_first else events, now - self._piece_at
            )
        self._is_first = False
        self._piece_at = now

    def _note(self, event: bytes) -> None:
        self.events += 1
        found = _EVENT_ID.search(event)
        if found:
            self.resume_after = int(found[1])
