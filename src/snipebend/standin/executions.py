"""Counts executions, so that tests can check what ran and how often."""

from __future__ import annotations

from collections import Counter

from msgspec import Struct


class ExecutionCounts(Struct, frozen=True):
    """Executions started, in total and by request id, key and body.

    ``by_key`` counts by idempotency key. A request counts as started when it
    enters the batch; one that was cancelled while queued is counted only in
    ``cancelled``.
    """

    by_request: dict[str, int]
    by_key: dict[str, int]
    by_body: dict[str, int]
    started: int
    finished: int
    cancelled: int
    running: int


class ExecutionLedger:
    """Counts executions as they start, finish or are cancelled."""

    def __init__(self) -> None:
        """Create the counters, all at zero."""
        self._by_request: Counter[str] = Counter()
        self._by_key: Counter[str] = Counter()
        self._by_body: Counter[str] = Counter()
        self.finished = 0
        self.cancelled = 0

    def start(self, request_id: str, *, key: str = '', body: str = '') -> None:
        """Count a started execution; an empty key or body is not counted."""
        self._by_request[request_id] += 1
        if key:
            self._by_key[key] += 1
        if body:
            self._by_body[body] += 1

    @property
    def started(self) -> int:
        """Return the total number of executions started."""
        return self._by_request.total()

    def counts(self, running: int = 0) -> ExecutionCounts:
        """Return all counts, including the given number of running ones."""
        return ExecutionCounts(
            by_request=dict(self._by_request),
            by_key=dict(self._by_key),
            by_body=dict(self._by_body),
            started=self.started,
            finished=self.finished,
            cancelled=self.cancelled,
            running=running,
        )
