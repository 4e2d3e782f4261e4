"""The response to the caller: started at most once and ended exactly once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.delivery.actions import (
    AbortResponse,
    FinishResponse,
    Refuse,
    RelayChunk,
    RelayHead,
    SendStoredResponse,
)

if TYPE_CHECKING:
    from snipebend.delivery.actions import Action
    from snipebend.delivery.outcomes import Outcome
    from snipebend.state.claims import StoredAnswer


class CallerResponse:
    """Translates the progress of a response into actions.

    No action follows the final one. The head is held back until the first
    chunk or the end arrives, so that an attempt that fails before can still be
    replaced by another.
    """

    def __init__(self) -> None:
        """Create a response that has not been started."""
        self.is_closed = False
        self.head_sent: RelayHead | None = None

    def relay(self, head: RelayHead, payloads: list[bytes]) -> list[Action]:
        """Forward chunks, preceded by the head if it was not sent yet."""
        if self.is_closed or not payloads:
            return []
        chunks = [RelayChunk(payload) for payload in payloads]
        return [*self._start(head), *chunks]

    def finish(self, head: RelayHead) -> list[Action]:
        """End the response normally."""
        if self.is_closed:
            return []
        start = self._start(head)
        self.is_closed = True
        return [*start, FinishResponse()]

    def refuse(self, refusal: Refuse) -> list[Action]:
        """Refuse the request; abort a response that was started."""
        if self.head_sent:
            return self.abort(refusal.title, refusal.outcome)
        return self._close(refusal)

    def abort(self, reason: str, outcome: Outcome) -> list[Action]:
        """Abort the response visibly."""
        return self._close(AbortResponse(reason, outcome))

    def send_stored(self, answer: StoredAnswer) -> list[Action]:
        """Send a stored response; a started one is aborted before this."""
        return self._close(SendStoredResponse(answer))

    def _start(self, head: RelayHead) -> list[Action]:
        if self.head_sent:
            return []
        self.head_sent = head
        return [head]

    def _close(self, final: Action) -> list[Action]:
        if self.is_closed:
            return []
        self.is_closed = True
        return [final]
