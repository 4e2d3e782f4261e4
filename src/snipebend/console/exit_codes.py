"""Exit codes shared by all commands."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """The result of a command as scripts see it."""

    DONE = 0
    #: The daemons responded, but the command did not reach its goal.
    FAILED = 1
    #: A file, a setting or an argument is invalid; nothing was changed.
    BAD_INPUT = 2
    #: Another change was applied first; the reply holds its configuration.
    CONFLICT = 3
    #: No daemon responded, or too few of them in time.
    UNAVAILABLE = 4


EPILOG = (
    'exit codes: 0 done, 1 failed, 2 bad input (nothing changed), '
    + '3 conflict, 4 no daemon answered'
)
