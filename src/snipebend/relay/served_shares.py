"""How often requests of each priority are served, and whose turn it is.

Performs no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

#: Share of the rate at which all are served that each priority gets at least:
#: well over the half below which callers of a kind count as shut out.
MIN_SHARE = 0.6

#: Requests after which an earlier one counts half: some seconds of one entry.
HALF_COUNT = 40

_KEPT = 0.5 ** (1 / HALF_COUNT)


class ServedShares:
    """Recent requests by priority, and how many of them were served."""

    def __init__(self) -> None:
        """Create without requests."""
        self._asked: dict[int, float] = {}
        self._served: dict[int, float] = {}

    def record_asked(self, priority: int) -> None:
        """Record a request that asks for room."""
        for counts in (self._asked, self._served):
            for other in counts:
                counts[other] *= _KEPT
        self._asked[priority] = self._asked.get(priority, 0) + 1

    def record_served(self, priority: int) -> None:
        """Record a request that has been given room."""
        self._served[priority] = self._served.get(priority, 0) + 1

    def share(self, priority: int) -> float:
        """Return the share of requests of a priority that were served."""
        asked = self._asked.get(priority, 0)
        return self._served.get(priority, 0) / asked if asked else 1

    def is_neglected(self, priority: int) -> bool:
        """Return whether a priority is served too seldom."""
        asked = sum(self._asked.values())
        if not asked:
            return False
        overall = sum(self._served.values()) / asked
        return self.share(priority) < MIN_SHARE * overall

    def dump(self) -> dict[int, float]:
        """Return the share of each priority."""
        return {priority: self.share(priority) for priority in self._asked}

    def choose(self, priorities: Collection[int]) -> int:
        """Return the priority that goes next: the most urgent, if none starves.

        The share of each is then never much below the least one, whatever the
        more urgent ones ask for.
        """
        neglected = [one for one in priorities if self.is_neglected(one)]
        return min(neglected, key=self.share) if neglected else min(priorities)
