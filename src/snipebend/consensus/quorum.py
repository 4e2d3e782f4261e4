"""Majorities."""

from __future__ import annotations

from typing import TypeVar

Ordered = TypeVar('Ordered', int, float)


def majority(voters: int) -> int:
    """Give the smallest number of voters that is more than half."""
    return voters // 2 + 1


def reached_by_majority(marks: list[Ordered]) -> Ordered:
    """Give the largest value that a majority has reached, one per voter."""
    ranked = sorted(marks, reverse=True)
    return ranked[majority(len(ranked)) - 1]
