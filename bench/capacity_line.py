"""One line of docs/CAPACITY.md and the units that lines share."""

from __future__ import annotations

from typing import NamedTuple

#: Measured slopes by name, see ``bench/slopes.toml``.
Slopes = dict[str, float]

ENTRY = 'Entry'
AGENT = 'Agent'
CONTROL = 'Control'
MAPS = 'Expert maps'
OPERATOR = 'Operator'
FAILURES = 'Failures'

BUILT = 'built'
PLANNED = 'planned'

MICRO = 1e6
MILLI = 1000
KIBI = 1024
MEBI = 1024 * 1024
MINUTE_S = 60


class Line(NamedTuple):
    """One row of the page; no budget means that none was given."""

    role: str
    name: str
    value: float
    unit: str
    budget: float | None
    mechanism: str
    state: str
    working: str

    def row(self) -> str:
        """Render as a row of the role's table."""
        if self.budget is None:
            budget = '-'
            verdict = '-'
        else:
            budget = f'{self.budget:g} {self.unit}'
            verdict = 'met' if self.value <= self.budget else '**missed**'
        shown = f'{_show(self.value)} {self.unit}'
        return (
            f'| {self.name} | {shown} | {budget} | {verdict} '
            f'| {self.mechanism} | {self.state} |'
        )


def _show(number: float) -> str:
    """Render four digits, never as a power of ten."""
    return f'{number:,.0f}' if number >= 100 else f'{number:.4g}'
