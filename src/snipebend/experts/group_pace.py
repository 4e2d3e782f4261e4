"""How long passes of groups take, by what entries tell (pure)."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

#: Seconds for which what was told counts: some passes of 50 ms, and three
#: messages of each entry.
WINDOW_S = 0.3


class _Told(NamedTuple):
    at: float
    events: int
    seconds: float


class GroupPaces:
    """The passes of the last moments, group by group."""

    def __init__(self) -> None:
        """Start without having heard of any."""
        self._told: dict[str, deque[_Told]] = {}

    def note(self, group: str, events: int, seconds: float, now: float) -> None:
        """Take over what one entry saw since its last message."""
        if events > 0 and seconds > 0:
            told = self._told.setdefault(group, deque())
            told.append(_Told(now, events, seconds))
            self._forget(told, now)

    def of_group(self, group: str, now: float) -> float | None:
        """Return the seconds of a pass; none: no entry told of one lately."""
        told = self._told.get(group)
        if told is None:
            return None
        self._forget(told, now)
        events = sum(one.events for one in told)
        return sum(one.seconds for one in told) / events if events else None

    def _forget(self, told: deque[_Told], now: float) -> None:
        while told and told[0].at < now - WINDOW_S:
            told.popleft()
