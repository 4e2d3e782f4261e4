"""Prints results on standard output and errors on standard error."""

from __future__ import annotations

import json
import sys

from snipebend.console.exit_codes import ExitCode
from snipebend.errors.hierarchy import InvalidInputError, SnipebendError


def print_line(text: str) -> None:
    """Print a text of one or more lines on standard output."""
    sys.stdout.write(f'{text}\n')


def print_json(document: object) -> None:
    """Print a result as JSON for scripts."""
    print_line(json.dumps(document, indent=2, default=str))


def print_error(exc: SnipebendError) -> int:
    """Print an error on standard error and return the exit code for it."""
    sys.stderr.write(f'snipebend: {exc}\n')
    if isinstance(exc, InvalidInputError):
        return ExitCode.BAD_INPUT
    return ExitCode.UNAVAILABLE
