"""Simulates days without failures and compares their worth with stored values.

``python -m bench.calm_days PLAYER SITE... --why WHY [--keep]`` prints a row per
deployment and day: the worth stored at the last release, the current one, and
whether it fell by more than repeated runs of the same day differ. One day is
calm, the other has 1.3 times its requests under steady demand. ``--keep``
stores the worths for the next comparison. The simulator and the deployments'
files are given on the command line.
"""

from __future__ import annotations

import re
import subprocess
import sys
import tomllib
from argparse import ArgumentParser
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple

WORTHS_FILE = Path(__file__).parent / 'calm_days.toml'

#: Arguments of the simulator by name of the day: a calm day that every
#: deployment defines, and one from the ``days`` folder.
DAYS = MappingProxyType(
    {
        'quiet-1': 'quiet-1',
        'burst_without_turns': str(
            Path(__file__).parent / 'days' / 'burst_without_turns.toml'
        ),
    }
)

HEAD = (
    '| deployment | day | before | now | |\n| --- | --- | --- | --- | --- |\n'
)

#: A day whose worth falls by more than this fails.
MAX_DROP = 0.03


def main() -> int:
    """Simulate the days; return 1 if a worth fell or a simulation failed."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument('player', help='the program that simulates a day')
    parser.add_argument('sites', nargs='+', help="the deployments' files")
    parser.add_argument('--keep', action='store_true')
    parser.add_argument('--why', required=True)
    args = parser.parse_args()
    worths = tomllib.loads(WORTHS_FILE.read_text(encoding='utf-8'))
    sys.stdout.write(HEAD)
    all_passed = True
    for site in args.sites:
        for day in DAYS:
            worths_of_day = worths.setdefault(day, {})
            row = _play_row(args.player, site, day, worths_of_day, args.why)
            all_passed = all_passed and row.verdict == ''
    if args.keep:
        WORTHS_FILE.write_text(_render_toml(worths), encoding='utf-8')
    return 0 if all_passed else 1


class Row(NamedTuple):
    """The stored and the current worth of a day at a deployment."""

    name: str
    day: str
    before: float | None
    now: float | None
    verdict: str


def _play_row(
    player: str, site: str, day: str, worths_of_day: dict[str, float], why: str
) -> Row:
    """Simulate one day, print its row and record its worth."""
    name = Path(site).stem
    before = worths_of_day.get(name)
    now = _play(player, site, DAYS[day], why)
    row = Row(name, day, before, now, _compare_worths(before, now))
    shown = ['-' if one is None else str(one) for one in row]
    line = ' | '.join(shown)
    sys.stdout.write(f'| {line} |\n')
    sys.stdout.flush()
    if now is not None:
        worths_of_day[name] = now
    return row


def _render_toml(worths: dict[str, dict[str, float]]) -> str:
    parts: list[str] = []
    for day, worths_of_day in worths.items():
        lines = [
            f'{name} = {worth}' for name, worth in sorted(worths_of_day.items())
        ]
        parts.append('\n'.join((f'[{day}]', *lines, '')))
    return '\n'.join(parts)


def _compare_worths(before: float | None, now: float | None) -> str:
    if now is None:
        return 'not played'
    if before is not None and now < before - MAX_DROP:
        return 'fell'
    return ''


def _play(player: str, site: str, day: str, why: str) -> float | None:
    command = [player, 'run', site, day, '--no-cpu', '--jobs', '1']
    command += ['--why', why]
    completed = subprocess.run(
        command, capture_output=True, text=True, check=False
    )
    found = re.search(r'^worth ([\d.]+) =', completed.stdout, re.MULTILINE)
    if found is None or 'BROKEN' in completed.stdout:
        sys.stderr.write(
            f'{completed.stdout[-600:]}{completed.stderr[-600:]}\n'
        )
        return None
    return float(found[1])


if __name__ == '__main__':
    sys.exit(main())
