"""A wheel of deadlines: constant cost for each renewal and each expiry.

Hashed timing wheel (Varghese and Lauck, 1987) with lazy renewal: an item has
one place in the wheel; when its place comes up and its deadline has moved on
meanwhile, it gets a later place.
"""

from __future__ import annotations


class DeadlineWheel:
    """Deadlines of named items, in ticks of a fixed span."""

    def __init__(self, tick_s: float) -> None:
        """Start empty; an item falls due at most one tick late."""
        self._tick_s = tick_s
        self._deadlines: dict[str, float] = {}
        self._places: dict[str, int] = {}
        self._slots: dict[int, set[str]] = {}
        self._cursor: int | None = None
        self.moves = 0

    def __len__(self) -> int:
        """Return the number of items."""
        return len(self._deadlines)

    def renew(self, name: str, deadline: float) -> None:
        """Set an item's deadline."""
        self._deadlines[name] = deadline
        place = self._places.get(name)
        if place is None or self._tick_after(deadline) < place:
            self._place(name, deadline)

    def drop(self, name: str) -> None:
        """Forget an item."""
        self._deadlines.pop(name, None)
        place = self._places.pop(name, None)
        if place is not None:
            self._slots[place].discard(name)

    def due(self, now: float) -> list[str]:
        """Take out and return the items whose deadline has passed."""
        last = int(now / self._tick_s)
        if self._cursor is None:
            self._cursor = min(self._slots, default=last)
        expired: list[str] = []
        if last - self._cursor > len(self._slots):
            # After a long pause only the slots in use are looked at.
            ticks = sorted(tick for tick in self._slots if tick <= last)
        else:
            ticks = list(range(self._cursor, last + 1))
        for tick in ticks:
            expired.extend(self._empty(tick, now))
        self._cursor = last
        return expired

    def _empty(self, tick: int, now: float) -> list[str]:
        expired = []
        for name in self._slots.pop(tick, ()):
            self._places.pop(name)
            deadline = self._deadlines[name]
            if deadline > now:
                self._place(name, deadline)
                continue
            self._deadlines.pop(name)
            expired.append(name)
        return expired

    def _place(self, name: str, deadline: float) -> None:
        before = self._places.get(name)
        if before is not None:
            self._slots[before].discard(name)
        tick = self._tick_after(deadline)
        self._places[name] = tick
        self._slots.setdefault(tick, set()).add(name)
        self.moves += 1
        if self._cursor is not None:
            self._cursor = min(self._cursor, tick)

    def _tick_after(self, deadline: float) -> int:
        return int(deadline / self._tick_s) + 1
