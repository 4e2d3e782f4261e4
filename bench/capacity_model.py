"""Collects the computed lines of all roles for docs/CAPACITY.md."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bench.capacity_control import compute_control_lines
from bench.capacity_nodes import compute_agent_lines, compute_entry_lines
from bench.capacity_operations import (
    compute_failure_lines,
    compute_map_lines,
    compute_operator_lines,
)

if TYPE_CHECKING:
    from bench.capacity_line import Line, Slopes


def compute_lines(slopes: Slopes) -> list[Line]:
    """Return all lines, grouped by role."""
    return [
        *compute_entry_lines(slopes),
        *compute_agent_lines(slopes),
        *compute_control_lines(slopes),
        *compute_map_lines(slopes),
        *compute_operator_lines(slopes),
        *compute_failure_lines(slopes),
    ]
