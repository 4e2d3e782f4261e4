"""``snipebend check``: check a fleet file without applying it."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace
from pathlib import Path

from snipebend.console.exit_codes import ExitCode
from snipebend.console.fleet_file import read_fleet_file
from snipebend.console.output import print_error, print_line

HELP = 'check a fleet file without applying it'
EXAMPLES = 'example: snipebend check examples/maengelwerk.toml'


def configure(parser: ArgumentParser) -> None:
    """Add the command's arguments to the parser."""
    parser.add_argument('file', type=Path, help='the fleet file')


def run(args: Namespace) -> int:
    """Print every problem of the file, or a one-line summary."""
    read = read_fleet_file(args.file)
    if read.is_err():
        return print_error(read.unwrap_err())
    fleet = read.unwrap().fleet
    print_line(
        f'{args.file}: ok: {len(fleet.groups)} groups, '
        + f'{len(fleet.workspaces)} workspaces, '
        + f'{len(fleet.services)} services',
    )
    return ExitCode.DONE
