"""The requests that wait at the other entries.

Performs no I/O.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class OtherEntries:
    """Punctual requests of one service that wait elsewhere, by priority."""

    def __init__(self) -> None:
        """Create without reports."""
        self._reports: dict[str, Mapping[int, int]] = {}
        self._totals: Counter[int] = Counter()

    def apply(self, entry: str, counts: Mapping[int, int]) -> None:
        """Replace the report of an entry; without counts, forget it."""
        self._totals.subtract(self._reports.pop(entry, {}))
        if counts:
            self._reports[entry] = counts
            self._totals.update(counts)

    def count(self, priority: int) -> int:
        """Return how many of a priority wait elsewhere."""
        return self._totals[priority]

    def count_more_urgent(self, priority: int) -> int:
        """Return how many wait elsewhere that are more urgent."""
        return sum(
            number for other, number in self._totals.items() if other < priority
        )

    @property
    def total(self) -> int:
        """Return how many wait elsewhere."""
        return self._totals.total()

    def totals(self) -> dict[int, int]:
        """Return the requests that wait elsewhere, by priority."""
        return dict(+self._totals)
