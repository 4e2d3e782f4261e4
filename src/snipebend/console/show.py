"""``snipebend show``: print the configuration in force."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace

from snipebend.console.connection import add_control_option, call_control
from snipebend.console.exit_codes import ExitCode
from snipebend.console.output import print_error, print_json, print_line
from snipebend.state.messages import ShowRequest
from snipebend.transport.methods import SHOW

HELP = 'print the configuration in force, ready to be applied again'
EXAMPLES = 'example: snipebend show > fleet.toml'


def configure(parser: ArgumentParser) -> None:
    """Add the command's arguments to the parser."""
    parser.add_argument('--json', action='store_true', help='print JSON')
    add_control_option(parser)


def run(args: Namespace) -> int:
    """Print the configuration text, preceded by its revision as a comment."""
    shown = call_control(args, SHOW, ShowRequest())
    if shown.is_err():
        return print_error(shown.unwrap_err())
    reply = shown.unwrap()
    if args.json:
        print_json({'revision': reply.revision, 'text': reply.text})
    else:
        print_line(f'# revision {reply.revision}\n{reply.text}'.rstrip())
    return ExitCode.DONE
