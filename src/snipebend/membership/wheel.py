"""A timing wheel: constant cost per renewal and per expiry of a deadline.

This is a hashed timing wheel (Varghese and Lauck, 1987) with lazy renewal: an
item is in one slot of the wheel. If its deadline was renewed by the time its
slot is reached, the item moves to a later slot.
"""

from __future__ import annotations


class DeadlineWheel:
    """Deadlines of named items.

    Deadlines are in seconds; each slot of the wheel covers one tick.
    """

    def __init__(self, tick_s: float) -> None:
        """Create an empty wheel; items expire at most one tick late."""
        self._tick_s = tick_s
        self._deadlines: dict[str, float] = {}
        self._scheduled_ticks: dict[str, int] = {}
        self._slots: dict[int, set[str]] = {}
        self._cursor: int | None = None
        self.moves = 0

    def __len__(self) -> int:
        """Return the number of items."""
        return len(self._deadlines)

    def renew(self, name: str, deadline: float) -> None:
        """Set an item's deadline."""
        self._deadlines[name] = deadline
        scheduled_tick = self._scheduled_ticks.get(name)
        if (
            scheduled_tick is None
            or self._tick_after(deadline) < scheduled_tick
        ):
            self._schedule(name, deadline)

    def remove(self, name: str) -> None:
        """Remove an item."""
        self._deadlines.pop(name, None)
        scheduled_tick = self._scheduled_ticks.pop(name, None)
        if scheduled_tick is not None:
            self._slots[scheduled_tick].discard(name)

    def pop_expired(self, now: float) -> list[str]:
        """Remove and return the items whose deadline has passed."""
        current_tick = int(now / self._tick_s)
        if self._cursor is None:
            self._cursor = min(self._slots, default=current_tick)
        expired: list[str] = []
        if current_tick - self._cursor > len(self._slots):
            # After a long pause, visit only the slots in use.
            ticks = sorted(tick for tick in self._slots if tick <= current_tick)
        else:
            ticks = list(range(self._cursor, current_tick + 1))
        for tick in ticks:
            expired.extend(self._expire_tick(tick, now))
        self._cursor = current_tick
        return expired

    def _expire_tick(self, tick: int, now: float) -> list[str]:
        expired = []
        for name in self._slots.pop(tick, ()):
            self._scheduled_ticks.pop(name)
            deadline = self._deadlines[name]
            if deadline > now:
                self._schedule(name, deadline)
                continue
            self._deadlines.pop(name)
            expired.append(name)
        return expired

    def _schedule(self, name: str, deadline: float) -> None:
        previous_tick = self._scheduled_ticks.get(name)
        if previous_tick is not None:
            self._slots[previous_tick].discard(name)
        tick = self._tick_after(deadline)
        self._scheduled_ticks[name] = tick
        self._slots.setdefault(tick, set()).add(name)
        self.moves += 1
        if self._cursor is not None:
            self._cursor = min(self._cursor, tick)

    def _tick_after(self, deadline: float) -> int:
        return int(deadline / self._tick_s) + 1
