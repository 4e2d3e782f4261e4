"""``snipebend explain``: print the log events of one request."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace
from pathlib import Path

from snipebend.console.exit_codes import ExitCode
from snipebend.console.output import print_error, print_line
from snipebend.errors.hierarchy import InvalidInputError
from snipebend.telemetry.log_lines import LogLine, explain, read_line

HELP = (
    "print one request's log events in order of time, with the events that "
    + 'explain the decisions on it'
)
EXAMPLES = 'example: snipebend explain 9c41d07be2a35f68 entry-*.log'


def configure(parser: ArgumentParser) -> None:
    """Add the command's arguments to the parser."""
    parser.add_argument('request', help="the request's id")
    parser.add_argument(
        'files', nargs='+', type=Path, help='log files of any processes'
    )


def run(args: Namespace) -> int:
    """Print the request's log lines, or fail if there are none."""
    lines: list[LogLine] = []
    for path in args.files:
        try:
            text = path.read_text(encoding='utf-8', errors='replace')
        except OSError as exc:
            return print_error(InvalidInputError(str(exc), step='read log'))
        parsed = (read_line(line) for line in text.splitlines())
        lines.extend(line for line in parsed if line is not None)
    found = explain(args.request, lines)
    if not found:
        return print_error(
            InvalidInputError(
                f'no line about request {args.request!r} in '
                + f'{len(lines)} events of {len(args.files)} files',
                step='explain',
            )
        )
    for line in found:
        print_line(line.text)
    return ExitCode.DONE
