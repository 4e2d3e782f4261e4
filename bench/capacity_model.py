"""All lines of docs/CAPACITY.md: arithmetic over slopes and target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bench.capacity_control import control_lines
from bench.capacity_nodes import agent_lines, entry_lines
from bench.capacity_rest import failure_lines, map_lines, operator_lines

if TYPE_CHECKING:
    from bench.capacity_line import Line, Slopes


def lines_of(slopes: Slopes) -> list[Line]:
    """Work out all lines, role by role."""
    return [
        *entry_lines(slopes),
        *agent_lines(slopes),
        *control_lines(slopes),
        *map_lines(slopes),
        *operator_lines(slopes),
        *failure_lines(slopes),
    ]
