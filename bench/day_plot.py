"""Plots what became of the requests of a simulated day, by priority.

``python -m bench.day_plot BEFORE AFTER --target PRIORITY=MS ... --out FILE``
reads the log lines of all processes of two runs, as ``bench.day_seconds`` does,
and draws for each priority of the busiest service, in each second of the day,
the requests whose first event came within the target, those that were served
later, and those that weren't served. Pauses between later events aren't in the
lines, so that a stream counts as on time by its first event.
"""

from __future__ import annotations

import sys
from argparse import ArgumentParser
from collections import Counter, defaultdict
from math import floor
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import matplotlib

from bench.day_seconds import read_lines

if TYPE_CHECKING:
    from matplotlib.axes import Axes

    from bench.day_seconds import LogLine

matplotlib.use('Agg')

#: What became of a request, in the order in which the areas are stacked, and
#: the colour of each.
OUTCOMES = (
    ('on time', '#3b7a57'),
    ('late', '#d9a441'),
    ('not served', '#b2433f'),
)
PANEL_INCHES = (5.0, 2.2)
_MS = 1000


class Ended(NamedTuple):
    """A request that an entry has ended."""

    second: int
    priority: int
    outcome: str


def main() -> int:
    """Draw the plot."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument('before', type=Path)
    parser.add_argument('after', type=Path)
    parser.add_argument('--target', action='append', default=[])
    parser.add_argument('--out', type=Path, required=True)
    args = parser.parse_args()
    targets_s = dict(map(_read_target, args.target))
    runs = {
        path.stem: find_ended(read_lines(path), targets_s)
        for path in (args.before, args.after)
    }
    draw(runs, sorted(targets_s), args.out)
    return 0


def find_ended(
    lines: list[LogLine], targets_s: dict[int, float]
) -> list[Ended]:
    """Return the ended requests of the service that has most of them."""
    first_lines: dict[str, LogLine] = {}
    ended: defaultdict[str, list[Ended]] = defaultdict(list)
    for line in lines:
        request = line.pairs.get('request', '')
        if 'priority' in line.pairs and 'service' in line.pairs:
            first_lines.setdefault(request, line)
        elif line.event == 'request_ended' and request in first_lines:
            first = first_lines.pop(request)
            priority = int(first.pairs['priority'])
            target_s = targets_s.get(priority)
            if target_s is not None:
                ended[first.pairs['service']].append(
                    Ended(floor(first.at), priority, _judge(line, target_s))
                )
    return max(ended.values(), key=len, default=[])


def draw(
    runs: dict[str, list[Ended]], priorities: list[int], out: Path
) -> None:
    """Draw a column for each run and a row for each priority."""
    from matplotlib import pyplot

    width, height = PANEL_INCHES
    figure, panels = pyplot.subplots(
        len(priorities),
        len(runs),
        figsize=(width * len(runs), height * len(priorities)),
        sharex=True,
        sharey='row',
        squeeze=False,
    )
    for column, (name, ended) in enumerate(runs.items()):
        for row, priority in enumerate(priorities):
            panel = panels[row][column]
            panel.set_title(f'{name}, priority {priority}')
            _draw_panel(panel, ended, priority)
    panels[0][0].legend(loc='upper left', fontsize='small')
    figure.supxlabel('second of the day')
    figure.supylabel('requests')
    figure.tight_layout()
    figure.savefig(out)


def _draw_panel(panel: Axes, ended: list[Ended], priority: int) -> None:
    counts = Counter(
        (one.second, one.outcome) for one in ended if one.priority == priority
    )
    seconds = range(max((one.second for one in ended), default=0) + 1)
    panel.stackplot(
        seconds,
        [
            [counts[second, outcome] for second in seconds]
            for outcome, _ in OUTCOMES
        ],
        labels=[outcome for outcome, _ in OUTCOMES],
        colors=[colour for _, colour in OUTCOMES],
    )


def _read_target(text: str) -> tuple[int, float]:
    priority, _, target_ms = text.partition('=')
    return int(priority), float(target_ms) / _MS


def _judge(line: LogLine, target_s: float) -> str:
    if line.pairs.get('status') != '200':
        return 'not served'
    first_event_s = float(line.pairs['first_ms']) / _MS
    return 'on time' if 0 <= first_event_s <= target_s else 'late'


if __name__ == '__main__':
    sys.exit(main())
