"""What became of a request, as far as it could be proved."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """The outcome that every refusal and error carries."""

    #: Proven: no execution was started, and none will be.
    NOT_RUN = 'not-run'
    #: The request ran, although its answer can't be given (again).
    RAN = 'ran'
    #: Neither could be proved.
    UNKNOWN = 'unknown'
