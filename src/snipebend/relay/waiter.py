"""A request that asks for room at the upstreams of its service.

Performs no I/O.
"""

from __future__ import annotations

from typing import NamedTuple

#: Work of a request that states no tokens, in tokens.
DEFAULT_WORK = 1000


class Waiter(NamedTuple):
    """One request; times in monotonic seconds."""

    #: Increases with each request of the entry.
    number: int
    #: 0 is the most urgent. Requests of one priority go by their routes'.
    priority: int
    workspace: str
    #: Tokens of the prompt and the answer.
    work: int
    asked_at: float
    #: Latest start by which its first event, or its response, is on time.
    start_by: float
    deadline: float
    #: Latest start by which its response ends before the deadline.
    latest_start: float
    #: Whether it has been called before: a retry or a resumed stream.
    is_continued: bool = False
    #: Whether its caller came back after a refusal.
    has_returned: bool = False
