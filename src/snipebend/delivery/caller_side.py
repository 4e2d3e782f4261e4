"""What the caller was given so far: one answer, and one end of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.delivery.actions import (
    AbortAnswer,
    AnswerStored,
    FinishAnswer,
    Refuse,
    RelayChunk,
    RelayHead,
)

if TYPE_CHECKING:
    from snipebend.delivery.actions import Action
    from snipebend.delivery.outcomes import Outcome
    from snipebend.state.claims import StoredAnswer


class CallerSide:
    """Turns an answer's progress into actions, none after the final one.

    The head is held back until there is a chunk or the end, so that an attempt
    that breaks before can still be replaced by another.
    """

    def __init__(self) -> None:
        """Owe the caller an answer."""
        self.is_closed = False
        self.head_sent: RelayHead | None = None

    def relay(self, head: RelayHead, payloads: list[bytes]) -> list[Action]:
        """Pass chunks on, after the head if it wasn't sent before."""
        if self.is_closed or not payloads:
            return []
        chunks = [RelayChunk(payload) for payload in payloads]
        return [*self._start(head), *chunks]

    def finish(self, head: RelayHead) -> list[Action]:
        """End the answer cleanly."""
        if self.is_closed:
            return []
        start = self._start(head)
        self.is_closed = True
        return [*start, FinishAnswer()]

    def refuse(self, refusal: Refuse) -> list[Action]:
        """Refuse; an answer that was begun is broken off instead."""
        if self.head_sent:
            return self.abort(refusal.title, refusal.outcome)
        return self._close(refusal)

    def abort(self, reason: str, outcome: Outcome) -> list[Action]:
        """Break the answer off visibly."""
        return self._close(AbortAnswer(reason, outcome))

    def answer_stored(self, answer: StoredAnswer) -> list[Action]:
        """Give the kept answer; one that was begun is broken off instead."""
        return self._close(AnswerStored(answer))

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
