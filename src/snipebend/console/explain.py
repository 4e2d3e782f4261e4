"""``snipebend explain``: the life of one request, from log files."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace
from pathlib import Path

from snipebend.console.exit_codes import ExitCode
from snipebend.console.output import fail, print_line
from snipebend.errors.hierarchy import InvalidInputError
from snipebend.telemetry.log_lines import LogLine, explain, read_line

HELP = "print one request's life from log files, in time, with what was known"
EXAMPLES = 'example: snipebend explain 9c41d07be2a35f68 entry-*.log'


def configure(parser: ArgumentParser) -> None:
    """Add the arguments."""
    parser.add_argument('request', help="the request's id")
    parser.add_argument(
        'files', nargs='+', type=Path, help='log files of any processes'
    )


def run(args: Namespace) -> int:
    """Print the lines, or say that there are none."""
    lines: list[LogLine] = []
    for path in args.files:
        try:
            text = path.read_text(encoding='utf-8', errors='replace')
        except OSError as exc:
            return fail(InvalidInputError(str(exc), step='read log'))
        read = (read_line(line) for line in text.splitlines())
        lines.extend(line for line in read if line is not None)
    found = explain(args.request, lines)
    if not found:
        return fail(
            InvalidInputError(
                f'no line about request {args.request!r} in '
                + f'{len(lines)} events of {len(args.files)} files',
                step='explain',
            )
        )
    for line in found:
        print_line(line.text)
    return ExitCode.DONE
