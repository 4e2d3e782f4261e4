"""Computes docs/CAPACITY.md from the target size and the measured slopes.

Run ``python -m bench.capacity > docs/CAPACITY.md``. Nothing is measured here:
the slopes come from ``bench/slopes.toml`` and the target from the users'
requirements; the project's own assumptions are listed on the page.
"""

from __future__ import annotations

import sys
import tomllib
from pathlib import Path

from bench.capacity_line import Line, Slopes
from bench.capacity_model import compute_lines
from bench.capacity_target import (
    ASSUMPTIONS,
    NOT_WORKED_OUT,
    ROLES,
    TARGET_ROWS,
)

FOLDER = Path(__file__).parent
_INTRODUCTION = """# Capacity at the target size

This page is worked out by `python -m bench.capacity` from slopes that the
benches measured on one machine (`bench/slopes.toml` names the run of each) and
from the target that the users set for two years from now. It is arithmetic, not
a run at that size: nothing of that size has been run. A line is *met* or
*missed* against its budget; a mechanism is *built* or *planned*.
"""


def main() -> int:
    """Print the page as Markdown."""
    slopes = _read_slopes()
    sys.stdout.write(_INTRODUCTION)
    sys.stdout.write(_render_table('The target', TARGET_ROWS))
    sys.stdout.write(_render_table('Our assumptions', ASSUMPTIONS))
    sys.stdout.write(_render_roles())
    lines = compute_lines(slopes)
    for role in dict.fromkeys(line.role for line in lines):
        chosen = [line for line in lines if line.role == role]
        sys.stdout.write(_render_role(role, chosen))
    notes = [f'- {note}' for note in NOT_WORKED_OUT]
    sys.stdout.write(f'\n## Not worked out\n\n{_join_lines(notes)}')
    sys.stdout.write(_render_slopes())
    return 0


def _read_slopes() -> Slopes:
    raw = tomllib.loads((FOLDER / 'slopes.toml').read_text('utf-8'))
    return {name: float(one['value']) for name, one in raw.items()}


def _render_table(title: str, rows: tuple[tuple[str, str], ...]) -> str:
    body = '\n'.join(f'| {name} | {value} |' for name, value in rows)
    return f'\n## {title}\n\n| what | value |\n| --- | --- |\n{body}\n'


def _render_roles() -> str:
    rows = [
        f'| {role} | {state} | {messages} |' for role, state, messages in ROLES
    ]
    head = '\n## Roles\n\n| role | state | messages |\n| --- | --- | --- |\n'
    return head + _join_lines(rows)


def _render_role(role: str, lines: list[Line]) -> str:
    header = '| line | at the target | budget | verdict | mechanism | state |'
    rule = '| --- | --- | --- | --- | --- | --- |'
    rows = [line.row() for line in lines]
    notes = [f'- {line.name}: {line.calculation}.' for line in lines]
    parts = [f'\n## {role}\n', header, rule, *rows, '', 'Working:', '', *notes]
    return _join_lines(parts)


def _join_lines(lines: list[str]) -> str:
    return ''.join(f'{line}\n' for line in lines)


def _render_slopes() -> str:
    raw = tomllib.loads((FOLDER / 'slopes.toml').read_text('utf-8'))
    rows = [
        f'| `{name}` | {one["value"]:g} | {one["run"]} |'
        for name, one in raw.items()
    ]
    head = '\n## The slopes\n\n| slope | value | run |\n| --- | --- | --- |\n'
    return head + _join_lines(rows)


if __name__ == '__main__':
    sys.exit(main())
