"""Checks that two checkouts understand each other.

``python -m tests.upgrades write OLD DATA`` writes data with the old build;
``python -m tests.upgrades check OLD NEW [--data DATA]`` runs all steps, with
that data or with data that it writes first.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from argparse import ArgumentParser
from pathlib import Path

from tests.upgrades.builds import Build
from tests.upgrades.checking import STEPS, check_all, write_all
from tests.upgrades.reporting import Report


def build_parser() -> ArgumentParser:
    """Build the command line."""
    parser = ArgumentParser('python -m tests.upgrades', description=__doc__)
    commands = parser.add_subparsers(required=True, dest='command')
    write = commands.add_parser('write', help='write data with the old build')
    write.add_argument('old', type=Path, help='checkout of the old build')
    write.add_argument('data', type=Path, help='folder that is made for it')
    check = commands.add_parser('check', help='check both builds together')
    check.add_argument('old', type=Path, help='checkout of the old build')
    check.add_argument('new', type=Path, help='checkout of the new build')
    check.add_argument('--data', type=Path, help='what write has written')
    check.add_argument(
        '--only', nargs='+', choices=STEPS, help='run only these'
    )
    return parser


def main() -> int:
    """Run one command and return its exit code."""
    options = build_parser().parse_args()
    report = Report()
    old = Build('old', options.old.resolve())
    with tempfile.TemporaryDirectory(prefix='upgrades-') as name:
        if options.command == 'write':
            asyncio.run(write_all(old, options.data.resolve(), report))
            return report.close()
        new = Build('new', options.new.resolve())
        data = options.data.resolve() if options.data else None
        checking = check_all(
            old, new, data, Path(name), report, options.only or ()
        )
        asyncio.run(checking)
    return report.close()


if __name__ == '__main__':
    sys.exit(main())
