"""What a played day's logs say, second by second.

``python -m bench.day_seconds LOG [--from S] [--to S]`` reads the log lines of
all processes, each behind its simulated time and its process, and prints for
each second how many requests of the busiest service began and were under way,
how long the first event took of those that began, what was refused and why, and
what control did: elections, plans, switches, groups that went down.
"""

from __future__ import annotations

import re
import sys
from argparse import ArgumentParser
from collections import Counter, defaultdict
from math import floor
from pathlib import Path
from statistics import median
from typing import NamedTuple

_LINE = re.compile(r'^\s*(-?[\d.]+) (\S+) .*?event=(\S+) ?(.*)$')
_PAIR = re.compile(r"(\w+)=('[^']*'|\S+)")

#: Events of control that explain what requests met.
_CONTROL = frozenset(('map_planned', 'map_switch', 'group_seen'))


class LogLine(NamedTuple):
    """One line: seconds of the day, process, event and its values."""

    at: float
    process: str
    event: str
    pairs: dict[str, str]


class Life(NamedTuple):
    """One request at its entry; times in seconds."""

    service: str
    began_at: float
    ended_at: float
    #: None: no event came.
    first_s: float | None


def main() -> int:
    """Print the table."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument('log', type=Path)
    parser.add_argument('--from', dest='begin', type=int, default=0)
    parser.add_argument('--to', dest='end', type=int, default=50)
    args = parser.parse_args()
    lines = read_lines(args.log)
    lives = find_lives(lines)
    notes = find_notes(lines)
    for second in range(args.begin, args.end):
        sys.stdout.write(f'{describe(second, lives)} {notes[second]}\n')
    return 0


def read_lines(path: Path) -> list[LogLine]:
    """Return the lines that processes wrote, in their order."""
    text = path.read_text(encoding='utf-8', errors='replace')
    return [
        LogLine(
            float(found[1]), found[2], found[3], dict(_PAIR.findall(found[4]))
        )
        for found in map(_LINE.match, text.splitlines())
        if found
    ]


def find_lives(lines: list[LogLine]) -> list[Life]:
    """Return the requests of the service that has most."""
    begun: dict[str, LogLine] = {}
    lives: list[Life] = []
    for line in lines:
        request = line.pairs.get('request', '')
        if line.event == 'call_begun':
            begun.setdefault(request, line)
        elif line.event == 'request_ended' and request in begun:
            first = begun.pop(request)
            first_ms = float(line.pairs['first_ms'])
            lives.append(
                Life(
                    first.pairs['service'],
                    first.at,
                    line.at,
                    first_ms / 1000 if first_ms >= 0 else None,
                )
            )
    services = Counter(life.service for life in lives)
    busiest = services.most_common(1)[0][0] if services else ''
    return [life for life in lives if life.service == busiest]


def find_notes(lines: list[LogLine]) -> defaultdict[int, str]:
    """Return what else happened in each second."""
    notes: defaultdict[int, Counter[str]] = defaultdict(Counter)
    for line in lines:
        note = _note(line)
        if note:
            notes[floor(line.at)][note] += 1
    return defaultdict(
        str,
        {
            second: '; '.join(
                f'{times} x {note}' if times > 1 else note
                for note, times in found.items()
            )
            for second, found in notes.items()
        },
    )


def describe(second: int, lives: list[Life]) -> str:
    """Return one second's row of the table."""
    began = [life for life in lives if second <= life.began_at < second + 1]
    running = sum(life.began_at <= second < life.ended_at for life in lives)
    firsts = [life.first_s for life in began if life.first_s is not None]
    shown = (
        f'{median(firsts):5.2f} {max(firsts):5.2f}' if firsts else '    -     -'
    )
    return (
        f'{second:4d} began {len(began):3d} running {running:3d} first {shown}'
    )


def _note(line: LogLine) -> str:
    pairs = line.pairs
    if line.event == 'refused':
        return f'refused {pairs["status"]} {pairs.get("detail", "")}'
    if line.event == 'role' and pairs.get('role') == 'leader':
        return f'{line.process} leads'
    if line.event == 'group_standing' and pairs.get('phase') == 'down':
        return f'{pairs["group"]} down'
    if line.event in _CONTROL:
        return f'{line.event} {pairs.get("group", "")}'
    return ''


if __name__ == '__main__':
    sys.exit(main())
