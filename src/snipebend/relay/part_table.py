"""The parts that an entry has in the calls of each cold upstream.

Performs no I/O.
"""

from __future__ import annotations

import math

from snipebend.relay.cold_parts import CallPart, Fleet, find_part

#: Upstreams whose calls are divided anew at one moment, which takes a hash for
#: each entry; until others' turn comes, this entry has no part in them.
MAX_DIVIDED = 64


class PartTable:
    """Computes parts once for each state of the fleet."""

    def __init__(self, window_s: float) -> None:
        """Create a table for a fleet that is not known yet."""
        self.fleet = Fleet('', (), 0, is_settled=False)
        self._window_s = window_s
        self._parts: dict[str, CallPart] = {}
        #: When parts were last computed, and how many then.
        self._divided_at: float = -math.inf
        self._divided = 0

    def update_fleet(self, fleet: Fleet) -> None:
        """Replace what is known of the entries."""
        if fleet != self.fleet:
            self.fleet = fleet
            self.clear()

    def clear(self) -> None:
        """Compute all parts anew."""
        self._parts.clear()

    def remove(self, upstream: str) -> None:
        """Remove the part of an upstream."""
        self._parts.pop(upstream, None)

    def find(self, upstream: str, total_calls: int, now: float) -> CallPart:
        """Return this entry's part of an upstream's calls in a second."""
        part = self._parts.get(upstream)
        if part is not None:
            return part
        if now > self._divided_at:
            self._divided_at = now
            self._divided = 0
        self._divided += 1
        if self._divided > MAX_DIVIDED:
            return CallPart(0, self._window_s)
        calls = find_part(self.fleet, upstream, total_calls)
        part = CallPart(calls, self._window_s)
        self._parts[upstream] = part
        return part
