"""A line of docs/CAPACITY.md, with the constants that all lines share."""

from __future__ import annotations

from typing import NamedTuple

#: Measured costs per unit of load by name, see ``bench/slopes.toml``.
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
    """A row of the page; ``budget`` is ``None`` if the target has none."""

    role: str
    name: str
    value: float
    unit: str
    budget: float | None
    mechanism: str
    state: str
    calculation: str

    def row(self) -> str:
        """Render the line as a Markdown row of its role's table."""
        if self.budget is None:
            budget = '-'
            verdict = '-'
        else:
            budget = f'{self.budget:g} {self.unit}'
            verdict = 'met' if self.value <= self.budget else '**missed**'
        shown = f'{_format_number(self.value)} {self.unit}'
        return (
            f'| {self.name} | {shown} | {budget} | {verdict} '
            f'| {self.mechanism} | {self.state} |'
        )


def _format_number(number: float) -> str:
    """Format with four significant digits, never with an exponent."""
    return f'{number:,.0f}' if number >= 100 else f'{number:.4g}'
