"""Whether a request ran, as far as it could be proved."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """The outcome reported with every refusal and error."""

    #: Proven: no execution was started, and none will be.
    NOT_RUN = 'not-run'
    #: The request ran, although its response is not available (any more).
    RAN = 'ran'
    #: Neither could be proved.
    UNKNOWN = 'unknown'
