"""Majorities of the voters."""

from __future__ import annotations

from typing import TypeVar

Ordered = TypeVar('Ordered', int, float)


def majority_size(voters: int) -> int:
    """Return the smallest number of voters that is more than half."""
    return voters // 2 + 1


def highest_reached_by_majority(reached_values: list[Ordered]) -> Ordered:
    """Return the largest value that a majority has reached.

    There is one value for each voter.
    """
    descending = sorted(reached_values, reverse=True)
    return descending[majority_size(len(descending)) - 1]
