"""Numbered rounds of messages, by which a leader knows its followers' age."""

from __future__ import annotations

import math


class Rounds:
    """When each round of messages of one leadership began."""

    def __init__(self, keep_s: float) -> None:
        """Remember the rounds of the last ``keep_s`` seconds."""
        self.number = 0
        self._keep_s = keep_s
        self._sent_at: dict[int, float] = {}

    def start(self, now: float) -> int:
        """Begin a round: messages that carry its number go out after now."""
        oldest = now - self._keep_s
        self._sent_at = {
            number: sent_at
            for number, sent_at in self._sent_at.items()
            if sent_at >= oldest
        }
        self.number += 1
        self._sent_at[self.number] = now
        return self.number

    def sent_at(self, number: int) -> float:
        """Give a round's start; far in the past for a forgotten one."""
        return self._sent_at.get(number, -math.inf)
