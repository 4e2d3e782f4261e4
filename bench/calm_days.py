"""Plays a calm day of each deployment, beside what it was worth before.

``python -m bench.calm_days PLAYER SITE... --why WHY [--keep]`` prints a row a
deployment: its worth at the last landing, now, and whether it fell by more than
what one and the same day spreads by. ``--keep`` writes the worths down for the
next landing. The program that plays and the deployments' files are named on the
command line.
"""

from __future__ import annotations

import re
import subprocess
import sys
import tomllib
from argparse import ArgumentParser
from pathlib import Path

WORTHS = Path(__file__).parent / 'calm_days.toml'

#: A calm day that every deployment has.
DAY = 'quiet-1'

HEAD = '| deployment | before | now | |\n| --- | --- | --- | --- |\n'

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
    before = tomllib.loads(WORTHS.read_text(encoding='utf-8'))
    sys.stdout.write(
        '| deployment | before | now | |\n| --- | --- | --- | --- |\n'
    )
    worths = dict(before)
    sound = True
    for site in args.sites:
        name = Path(site).stem
        worth = _play(args.player, site, args.why)
        verdict = _verdict(before.get(name), worth)
        sound = sound and not verdict
        row = (name, before.get(name, '-'), worth or '-', verdict)
        sys.stdout.write('| {} | {} | {} | {} |\n'.format(*row))
        sys.stdout.flush()
        if worth is not None:
            worths[name] = worth
    if args.keep:
        lines = [
            f'{name} = {worth}\n' for name, worth in sorted(worths.items())
        ]
        WORTHS.write_text(''.join(lines), encoding='utf-8')
    return 0 if sound else 1


def _verdict(before: float | None, now: float | None) -> str:
    if now is None:
        return 'not played'
    if before is not None and now < before - MOST_FALL:
        return 'fell'
    return ''


def _play(player: str, site: str, why: str) -> float | None:
    command = [player, 'run', site, DAY, '--no-cpu', '--why', why]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    found = re.search(r'^worth ([\d.]+) =', done.stdout, re.MULTILINE)
    if found is None or 'BROKEN' in done.stdout:
        sys.stderr.write(f'{done.stdout[-600:]}{done.stderr[-600:]}\n')
        return None
    return float(found[1])


if __name__ == '__main__':
    sys.exit(main())
