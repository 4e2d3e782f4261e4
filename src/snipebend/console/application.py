"""Entry point and argument parser of the ``snipebend`` command line."""

from __future__ import annotations

import sys
from argparse import ArgumentParser, RawDescriptionHelpFormatter
from collections.abc import Callable
from typing import NamedTuple

from snipebend.console import (
    apply,
    check,
    demo,
    evacuate,
    explain,
    show,
    status,
)
from snipebend.console import dump as dump_command
from snipebend.console.exit_codes import EPILOG


class Command(NamedTuple):
    """A subcommand with its help texts and functions."""

    name: str
    help: str
    examples: str
    configure: Callable[[ArgumentParser], None]
    run: Callable[..., int]


def _list_commands() -> tuple[Command, ...]:
    modules = {
        'check': check,
        'apply': apply,
        'show': show,
        'status': status,
        'evacuate': evacuate,
        'dump': dump_command,
        'explain': explain,
        'demo': demo,
    }
    return tuple(
        Command(
            name, module.HELP, module.EXAMPLES, module.configure, module.run
        )
        for name, module in modules.items()
    )


def build_parser() -> ArgumentParser:
    """Build the argument parser with all subcommands."""
    parser = ArgumentParser(
        'snipebend',
        description='Configure and inspect a snipebend fleet.',
        epilog=EPILOG,
    )
    subparsers = parser.add_subparsers(required=True, metavar='COMMAND')
    for command in _list_commands():
        sub = subparsers.add_parser(
            command.name,
            help=command.help,
            description=command.help,
            epilog=f'{command.examples}\n\n{EPILOG}',
            formatter_class=RawDescriptionHelpFormatter,
        )
        command.configure(sub)
        sub.set_defaults(run=command.run)
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run the command named on the command line and return its exit code."""
    args = build_parser().parse_args(arguments)
    return int(args.run(args))


if __name__ == '__main__':
    sys.exit(main())
