"""Numbered rounds of messages from a leader to its followers.

A reply repeats the number of its round. The leader uses the start time of that
round as a lower bound of the time at which the follower replied.
"""

from __future__ import annotations

import math


class Rounds:
    """The start time of each round of messages sent by a leader."""

    def __init__(self, keep_s: float) -> None:
        """Keep the start times of the last ``keep_s`` seconds."""
        self.number = 0
        self._keep_s = keep_s
        self._sent_at: dict[int, float] = {}

    def start(self, now: float) -> int:
        """Start a round and return its number, which later messages carry."""
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
        """Return the start time of a round; ``-inf`` if no longer kept."""
        return self._sent_at.get(number, -math.inf)
