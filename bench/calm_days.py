"""Plays days without trouble of each deployment, beside what they were worth.

``python -m bench.calm_days PLAYER SITE... --why WHY [--keep]`` prints a row a
deployment and day: its worth at the last landing, now, and whether it fell by
more than what one and the same day spreads by. The days are a calm one, and one
with 1.3 times its requests under a steady demand. ``--keep`` writes the worths
down for the next landing. The program that plays and the deployments' files are
named on the command line.
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

WORTHS = Path(__file__).parent / 'calm_days.toml'

#: By name, as the player takes them: a calm day that every deployment has, and
#: one of our own.
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

#: A larger fall of worth than this is a finding.
MOST_FALL = 0.03


def main() -> int:
    """Play the days; return 1 if one fell or couldn't be played."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument('player', help='the program that plays a day')
    parser.add_argument('sites', nargs='+', help="the deployments' files")
    parser.add_argument('--keep', action='store_true')
    parser.add_argument('--why', required=True)
    args = parser.parse_args()
    worths = tomllib.loads(WORTHS.read_text(encoding='utf-8'))
    sys.stdout.write(HEAD)
    sound = True
    for site in args.sites:
        for day in DAYS:
            known = worths.setdefault(day, {})
            row = _play_row(args.player, site, day, known, args.why)
            sound = sound and row.verdict == ''
    if args.keep:
        WORTHS.write_text(_to_toml(worths), encoding='utf-8')
    return 0 if sound else 1


class Row(NamedTuple):
    """One played day beside its last figure."""

    name: str
    day: str
    before: float | None
    now: float | None
    verdict: str


def _play_row(
    player: str, site: str, day: str, known: dict[str, float], why: str
) -> Row:
    """Play one day, print its row and note its worth."""
    name = Path(site).stem
    before = known.get(name)
    now = _play(player, site, DAYS[day], why)
    row = Row(name, day, before, now, _verdict(before, now))
    shown = ['-' if one is None else str(one) for one in row]
    line = ' | '.join(shown)
    sys.stdout.write(f'| {line} |\n')
    sys.stdout.flush()
    if now is not None:
        known[name] = now
    return row


def _to_toml(worths: dict[str, dict[str, float]]) -> str:
    parts: list[str] = []
    for day, known in worths.items():
        lines = [f'{name} = {worth}' for name, worth in sorted(known.items())]
        parts.append('\n'.join((f'[{day}]', *lines, '')))
    return '\n'.join(parts)


def _verdict(before: float | None, now: float | None) -> str:
    if now is None:
        return 'not played'
    if before is not None and now < before - MOST_FALL:
        return 'fell'
    return ''


def _play(player: str, site: str, day: str, why: str) -> float | None:
    command = [player, 'run', site, day, '--no-cpu', '--jobs', '1']
    command += ['--why', why]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    found = re.search(r'^worth ([\d.]+) =', done.stdout, re.MULTILINE)
    if found is None or 'BROKEN' in done.stdout:
        sys.stderr.write(f'{done.stdout[-600:]}{done.stderr[-600:]}\n')
        return None
    return float(found[1])


if __name__ == '__main__':
    sys.exit(main())
