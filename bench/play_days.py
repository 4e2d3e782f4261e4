"""Simulates the days of ``bench/days``: ``python -m bench.play_days``.

Prints one line per day: its worth, its score and the rules that were broken.
The simulator, the deployment's file and the days are given on the command
line, so that this module does not depend on their location.
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
    """Simulate the named days, or all; return 1 if one broke a rule."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument('player', help='the program that simulates a day')
    parser.add_argument('site', help="the deployment's file")
    parser.add_argument('days', nargs='*', help='names of days; none: all')
    parser.add_argument('--jobs', type=int, default=4)
    parser.add_argument('--why', required=True)
    args = parser.parse_args()
    names = args.days or sorted(path.stem for path in DAYS.glob('*.toml'))

    def play(name: str) -> bool:
        return _play(args.player, args.site, name, args.why)

    with ThreadPoolExecutor(args.jobs) as pool:
        passed = list(pool.map(play, names))
    sys.stdout.write(f'{sum(passed)} of {len(passed)} days kept the rules\n')
    return 0 if all(passed) else 1


def _play(player: str, site: str, name: str, why: str) -> bool:
    command = [player, 'run', site, str(DAYS / f'{name}.toml'), '--why', why]
    completed = subprocess.run(
        command, capture_output=True, text=True, check=False
    )
    line = re.search(rf'^{name} .*$', completed.stdout, re.MULTILINE)
    output_line = (
        line[0] if line else completed.stdout[-300:] + completed.stderr[-300:]
    )
    sys.stdout.write(f'{output_line}\n')
    sys.stdout.flush()
    return line is not None and 'BROKEN' not in output_line


if __name__ == '__main__':
    sys.exit(main())
