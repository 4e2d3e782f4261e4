"""Plays days of our own on a deployment: ``python -m bench.play_days``.

For each day one line: its worth, its score and the rules that were broken. The
program that plays, the deployment's file and the days are named on the command
line, so that nothing here knows where they are.
"""

from __future__ import annotations

import re
import subprocess
import sys
from argparse import ArgumentParser
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

DAYS = Path(__file__).parent / 'days'


def main() -> int:
    """Play the days named, or all; return 1 if one broke a rule."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument('player', help='the program that plays a day')
    parser.add_argument('site', help="the deployment's file")
    parser.add_argument('days', nargs='*', help='names of days; none: all')
    parser.add_argument('--jobs', type=int, default=4)
    parser.add_argument('--why', required=True)
    args = parser.parse_args()
    names = args.days or sorted(path.stem for path in DAYS.glob('*.toml'))

    def play(name: str) -> bool:
        return _play(args.player, args.site, name, args.why)

    with ThreadPoolExecutor(args.jobs) as pool:
        sound = list(pool.map(play, names))
    sys.stdout.write(f'{sum(sound)} of {len(sound)} days kept the rules\n')
    return 0 if all(sound) else 1


def _play(player: str, site: str, name: str, why: str) -> bool:
    command = [player, 'run', site, str(DAYS / f'{name}.toml'), '--why', why]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    line = re.search(rf'^{name} .*$', done.stdout, re.MULTILINE)
    shown = line[0] if line else done.stdout[-300:] + done.stderr[-300:]
    sys.stdout.write(f'{shown}\n')
    sys.stdout.flush()
    return line is not None and 'BROKEN' not in shown


if __name__ == '__main__':
    sys.exit(main())
